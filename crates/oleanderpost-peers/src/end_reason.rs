//! [`EndReason`].

/// Why a connection ended.
#[derive(Clone, Debug)]
pub(crate) enum EndReason {
    /// It was closed gracefully, its drain timeout expired, or this node's links were closed.
    Closed,
    /// The peer did not answer a ping in time.
    Silent,
    /// The peer connected with a later incarnation.
    Superseded,
    /// The connection failed, or the peer violated the protocol.
    Broken(String),
}

impl EndReason {
    /// Whether the connection ended because of a fault, so that the peer may be down.
    pub(crate) fn is_failure(&self) -> bool {
        matches!(self, Self::Silent | Self::Broken(_))
    }
}

impl std::fmt::Display for EndReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Closed => f.pad("closed"),
            Self::Silent => f.pad("no answer to a ping"),
            Self::Superseded => f.pad("superseded by a later incarnation"),
            Self::Broken(reason) => f.pad(reason),
        }
    }
}

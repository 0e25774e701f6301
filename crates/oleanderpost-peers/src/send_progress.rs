//! [`SendProgress`].

/// Progress of sending a message to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// It is queued; no byte was written.
    Queued,
    /// At least a part of it was written to a connection.
    Written,
}

impl std::fmt::Display for SendProgress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Queued => "queued",
            Self::Written => "written",
        })
    }
}

//! The error type of this crate.

use oleanderpost_types::VmId;

use crate::SendProgress;

/// A failure of a link, a message or the VM list.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The links are closed.
    #[error("links are closed")]
    Closed,
    /// The listener could not be opened.
    #[error("listen for links: {0}")]
    Listen(#[source] std::io::Error),
    /// A shared key is invalid.
    #[error("shared key: {0}")]
    Key(&'static str),
    /// The address book has no address for the peer.
    #[error("{peer}: no address known")]
    UnknownPeer {
        /// The peer.
        peer: VmId,
    },
    /// No connection to the peer could be opened; the message was not written.
    #[error("{peer}: {step}: {reason}")]
    Unreachable {
        /// The peer.
        peer: VmId,
        /// Step at which opening failed.
        step: &'static str,
        /// What went wrong.
        reason: String,
    },
    /// The queue of messages to the peer is full; the message was not written.
    #[error("{peer}: queue is full")]
    QueueFull {
        /// The peer.
        peer: VmId,
    },
    /// The message exceeds the size limit; it was not written.
    #[error("{peer}: message of {size} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// The peer.
        peer: VmId,
        /// Encoded size in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The message could not be encoded; it was not written.
    #[error("{peer}: encode message: {reason}")]
    Encode {
        /// The peer.
        peer: VmId,
        /// What went wrong.
        reason: String,
    },
    /// No answer came in time.
    #[error("{peer}: no answer in time, message was {progress}")]
    Timeout {
        /// The peer.
        peer: VmId,
        /// Whether the message was written.
        progress: SendProgress,
    },
    /// The connection that carried the message ended before the answer.
    #[error("{peer}: connection lost before the answer: {reason}")]
    ConnectionLost {
        /// The peer.
        peer: VmId,
        /// Why the connection ended.
        reason: String,
    },
    /// The peer is at one of its limits and did not handle the message.
    #[error("{peer}: peer is busy")]
    Busy {
        /// The peer.
        peer: VmId,
    },
    /// The peer could not decode the message, for example because it runs another version; it did not handle
    /// the message.
    #[error("{peer}: peer does not know this message")]
    NotUnderstood {
        /// The peer.
        peer: VmId,
    },
    /// The peer handled the message and sent no answer.
    #[error("{peer}: peer has no answer")]
    NoAnswer {
        /// The peer.
        peer: VmId,
    },
    /// The answer could not be decoded by this version.
    #[error("{peer}: decode answer: {reason}")]
    Decode {
        /// The peer.
        peer: VmId,
        /// What went wrong.
        reason: String,
    },
    /// The platform's VM list could not be read.
    #[error("read VM list: {0}")]
    Source(String),
}

impl Error {
    /// Whether the peer may have handled the message despite the error.
    #[must_use]
    pub fn maybe_handled(&self) -> bool {
        match self {
            Self::Timeout { progress, .. } => *progress == SendProgress::Written,
            Self::ConnectionLost { .. } | Self::NoAnswer { .. } | Self::Decode { .. } => true,
            _ => false,
        }
    }
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

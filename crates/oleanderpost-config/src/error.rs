//! The error type of this crate.

use oleanderpost_types::VmId;

use crate::Findings;

/// Error in a fleet file or in its distribution.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A token hash is not 64 hexadecimal digits.
    #[error("a token hash is 64 hexadecimal digits (SHA-256)")]
    TokenHash,
    /// A content hash is not 64 hexadecimal digits.
    #[error("a content hash is 64 hexadecimal digits (SHA-256)")]
    ContentHash,
    /// A content cannot be compressed or decompressed, or does not match its hash.
    #[error("invalid content: {0}")]
    Payload(String),
    /// The configuration service failed or did not respond.
    #[error("configuration service: {0}")]
    Source(String),
    /// A peer failed or did not respond.
    #[error("peer {vm}: {step}: {reason}")]
    Peer {
        /// The peer.
        vm: VmId,
        /// Step of the protocol that failed.
        step: &'static str,
        /// Reason of the failure.
        reason: String,
    },
    /// A file is invalid; the findings list every error.
    #[error("{0}")]
    Findings(Findings),
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

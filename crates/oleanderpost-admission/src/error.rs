//! The error type of this crate.

use oleanderpost_types::{UpstreamId, VmId};

/// Failure of a call to a peer or an engine, or of the builder.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A node did not reply.
    #[error("{step}: node {peer}: {detail}")]
    Peer {
        /// Operation that failed.
        step: &'static str,
        /// Node that was called.
        peer: VmId,
        /// Cause of the failure.
        detail: String,
    },
    /// An engine did not reply, or rejected the call.
    #[error("{step}: engine {upstream}: {detail}")]
    Engine {
        /// Operation that failed.
        step: &'static str,
        /// Engine that was called.
        upstream: UpstreamId,
        /// Cause of the failure.
        detail: String,
    },
    /// A required dependency was not given to the builder.
    #[error("admission needs a {0}")]
    Missing(&'static str),
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

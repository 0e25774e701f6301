//! The error type of this crate.

use oleanderpost_types::{UpstreamId, VmId};

/// Failure of a request to a peer or an upstream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The peer did not answer.
    #[error("ask {peer}: {detail}")]
    Unreachable {
        /// Peer that was asked.
        peer: VmId,
        /// Cause.
        detail: String,
    },
    /// The upstream did not answer.
    #[error("{step} of {upstream}: {detail}")]
    Upstream {
        /// Step that failed.
        step: &'static str,
        /// Upstream that was called.
        upstream: UpstreamId,
        /// Cause.
        detail: String,
    },
    /// An engine refused an order.
    #[error("order to {upstream} refused: {detail}")]
    Refused {
        /// Engine that refused.
        upstream: UpstreamId,
        /// Cause.
        detail: String,
    },
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

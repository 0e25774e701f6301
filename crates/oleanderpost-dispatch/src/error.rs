//! The error type of this crate.

use oleanderpost_types::{Outcome, Problem, UpstreamId};

/// Why a stream delivers no further event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The upstream refused the request; `problem.outcome` states whether anything ran.
    #[error("{step}: refused by {upstream}: {}", .problem.detail)]
    Refused {
        /// Step that failed.
        step: &'static str,
        /// Upstream that refused.
        upstream: UpstreamId,
        /// The refusal.
        problem: Box<Problem>,
    },
    /// A call to the upstream failed or was not answered.
    #[error("{step} at {upstream}: {detail}")]
    Exchange {
        /// Step that failed.
        step: &'static str,
        /// Upstream that was called.
        upstream: UpstreamId,
        /// Cause.
        detail: String,
    },
    /// The upstream no longer has the stream, or is no longer reachable.
    #[error("stream at {upstream} lost after {delivered} tokens: {detail}")]
    Lost {
        /// Upstream that had the stream.
        upstream: UpstreamId,
        /// Number of tokens delivered before.
        delivered: u64,
        /// Cause.
        detail: String,
    },
}

impl Error {
    /// Whether the upstream has certainly not run the request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Refused { problem, .. } => problem.outcome == Outcome::NotRun,
            _ => false,
        }
    }
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

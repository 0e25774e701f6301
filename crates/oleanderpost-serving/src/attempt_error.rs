//! [`AttemptError`].

use crate::{RunStatus, UpstreamId};

/// Why an attempt gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{step} at {upstream}: {cause}")]
pub struct AttemptError {
    /// Step that failed.
    pub step: &'static str,
    /// Upstream that was tried.
    pub upstream: UpstreamId,
    /// Whether the upstream may have run the request.
    pub ran: RunStatus,
    /// Cause.
    pub cause: String,
}

impl AttemptError {
    /// An attempt that failed at `step`.
    pub fn new(
        step: &'static str,
        upstream: &UpstreamId,
        ran: RunStatus,
        cause: impl std::fmt::Display,
    ) -> Self {
        Self {
            step,
            upstream: upstream.clone(),
            ran,
            cause: cause.to_string(),
        }
    }
}

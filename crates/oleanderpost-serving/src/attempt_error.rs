//! [`AttemptError`].

use crate::{
    RunStatus, UpstreamId,
    upstream_client::{MISDIRECTED_STEP, REFUSED_STEP},
};

/// Error of an attempt that gave no usable response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{step} at {upstream}: {cause}")]
pub struct AttemptError {
    /// Step that failed; a label of the metric `attempts_failed`.
    pub step: &'static str,
    /// Upstream that the request was sent to.
    pub upstream: UpstreamId,
    /// Whether the upstream may have run the request.
    pub ran: RunStatus,
    /// Whether the upstream closed or reset the connection while it had the request.
    pub disconnected: bool,
    /// Description of the cause, for logs.
    pub cause: String,
}

impl AttemptError {
    /// Creates the error of an attempt that failed at `step`.
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
            disconnected: false,
            cause: cause.to_string(),
        }
    }

    /// Whether the request may have arrived at the upstream, which may have refused it. If not, no upstream got a byte
    /// of it.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        self.ran.may_have_run() || matches!(self.step, REFUSED_STEP | MISDIRECTED_STEP)
    }

    /// Creates the error of an attempt whose upstream closed or reset the connection at `step`, while it had the
    /// request.
    pub fn new_disconnected(
        step: &'static str,
        upstream: &UpstreamId,
        cause: impl std::fmt::Display,
    ) -> Self {
        Self {
            disconnected: true,
            ..Self::new(step, upstream, RunStatus::MayHaveRun, cause)
        }
    }
}

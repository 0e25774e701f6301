//! [`RetryTerms`].

use std::time::Duration;

use crate::Attempts;

/// Number of attempts refused by upstreams after which the request itself is refused.
const MAX_REFUSALS: u32 = 6;
/// Minimum time left for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(40);

/// Conditions for retrying a request, given by its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTerms {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of attempts that may have run the request; unlimited if `None`.
    pub max_attempts: Option<u32>,
}

impl RetryTerms {
    /// Whether another attempt may follow these failed ones with `time_left` until the time limit of the request. A request
    /// that must not run twice is retried only if it certainly has not run.
    #[must_use]
    pub fn permit(&self, attempts: Attempts, time_left: Duration) -> bool {
        let repeatable = self.repeatable || attempts.may_have_run == 0;
        let max_attempts = self.max_attempts.unwrap_or(u32::MAX);
        let within_limits =
            attempts.may_have_run < max_attempts && attempts.not_run <= MAX_REFUSALS;
        repeatable && within_limits && time_left > MIN_TIME_LEFT
    }
}

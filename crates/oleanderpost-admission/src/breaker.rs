//! [`Breaker`].

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures that open a breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// Minimum time for which a breaker stays open.
const MIN_OPEN: Duration = Duration::from_millis(500);
/// Maximum time for which a breaker stays open.
const MAX_OPEN: Duration = Duration::from_secs(10);
/// Time after which a trial request without a result counts as lost.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Circuit breaker of one upstream: after consecutive failures it allows one trial request at a time.
///
/// ```
/// use std::time::Duration;
///
/// use oleanderpost_admission::Breaker;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut breaker = Breaker::default();
/// (0..3).for_each(|_| breaker.record_failure(now));
/// assert!(!breaker.allows(now));
/// assert!(breaker.allows(now + Duration::from_secs(1)));
/// breaker.record_success();
/// assert!(breaker.allows(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_until: Option<Instant>,
}

impl Breaker {
    /// Whether a request may be sent.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        self.open_until.is_none_or(|until| now >= until)
    }

    /// Records that a request is sent; while the breaker is half open, this is the trial request.
    pub fn record_sent(&mut self, now: Instant) {
        if self.open_until.is_some() {
            self.open_until = Some(now + TRIAL_TIMEOUT);
        }
    }

    /// Records a successful request, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_OPEN).min(8);
        let open = MIN_OPEN.saturating_mul(1 << doublings).min(MAX_OPEN);
        self.open_until = Some(now + open);
    }

    /// Time until a request may be sent; `None` if one may be sent now.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Option<Duration> {
        let until = self.open_until?;
        (until > now).then(|| until - now)
    }
}

//! [`Drain`].

use std::time::Duration;

use crate::BootTime;

/// Share of the drain time that must be left to admit a request whose own time limit is longer than what is
/// left.
const MIN_TIME_LEFT_SHARE: f64 = 0.62;

/// Shutdown phase of a node that has been asked to stop.
///
/// Requests may arrive on open connections until the node stops. A request that could not finish before the
/// node is killed must not start on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    started_at: BootTime,
    limit: Duration,
}

impl Drain {
    /// Creates a drain that ends `limit` after `started_at`.
    #[must_use]
    pub fn new(started_at: BootTime, limit: Duration) -> Self {
        Self { started_at, limit }
    }

    /// Time left at `now` until the drain ends.
    #[must_use]
    pub fn time_left(&self, now: BootTime) -> Duration {
        self.limit.saturating_sub(now.since(self.started_at))
    }

    /// Whether a request that takes at most `time_limit` may still start.
    #[must_use]
    pub fn admits(&self, now: BootTime, time_limit: Duration) -> bool {
        self.time_left(now) >= time_limit.min(self.limit.mul_f64(MIN_TIME_LEFT_SHARE))
    }
}

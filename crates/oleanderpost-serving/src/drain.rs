//! [`Drain`].

use std::time::Duration;

use crate::BootTime;

/// Share of the drain time that must be left for a request whose own limit does not fit.
const ADMIT_SHARE: f64 = 0.62;

/// The last phase of a node that was told to stop.
///
/// Kept connections may bring requests until the end. One that could not end before the node is killed
/// must not begin here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    began: BootTime,
    limit: Duration,
}

impl Drain {
    /// A drain that ends `limit` after `began`.
    #[must_use]
    pub fn new(began: BootTime, limit: Duration) -> Self {
        Self { began, limit }
    }

    /// Time left.
    #[must_use]
    pub fn left(&self, now: BootTime) -> Duration {
        self.limit.saturating_sub(now.since(self.began))
    }

    /// Whether a request that takes at most `longest` may still begin.
    #[must_use]
    pub fn admits(&self, now: BootTime, longest: Duration) -> bool {
        self.left(now) >= longest.min(self.limit.mul_f64(ADMIT_SHARE))
    }
}

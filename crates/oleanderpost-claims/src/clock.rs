//! [`Clock`].

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::WallClock;

/// Wall-clock time derived from the monotonic clock; detects when the two clocks diverge.
pub(crate) struct Clock {
    wall_clock: Arc<dyn WallClock>,
    anchor: Instant,
    anchor_ms: u64,
}

impl Clock {
    pub(crate) fn new(wall_clock: Arc<dyn WallClock>) -> Self {
        Self {
            anchor: Instant::now(),
            anchor_ms: wall_clock.now_ms(),
            wall_clock,
        }
    }

    /// Wall-clock time in milliseconds at `now`.
    pub(crate) fn now_ms(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.anchor);
        self.anchor_ms + u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Monotonic time at the wall-clock time `at_ms`; `None` if it is too early for the monotonic clock to
    /// represent, a time about which the process can know nothing.
    pub(crate) fn instant(&self, at_ms: u64) -> Option<Instant> {
        if at_ms >= self.anchor_ms {
            return self
                .anchor
                .checked_add(Duration::from_millis(at_ms - self.anchor_ms));
        }
        self.anchor
            .checked_sub(Duration::from_millis(self.anchor_ms - at_ms))
    }

    /// Resets this clock to the wall clock if they differ by more than `max_drift`, which happens when the
    /// machine was suspended or its clock was set. Returns whether it was reset.
    pub(crate) fn resync(&mut self, max_drift: Duration) -> bool {
        let wall_ms = self.wall_clock.now_ms();
        let now = Instant::now();
        let drift = wall_ms.abs_diff(self.now_ms(now));
        if u128::from(drift) <= max_drift.as_millis() {
            return false;
        }
        self.anchor = now;
        self.anchor_ms = wall_ms;
        true
    }
}

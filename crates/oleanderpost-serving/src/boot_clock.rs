//! [`BootClock`].

use std::time::{Duration, Instant};

use tokio::time;

use crate::BootTime;

/// Source of [`BootTime`] that follows the paused time of tokio in tests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BootClock {
    origin: BootTime,
    started: time::Instant,
    started_std: Instant,
}

impl BootClock {
    pub(crate) fn new() -> Self {
        Self {
            origin: BootTime::now(),
            started: time::Instant::now(),
            started_std: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> BootTime {
        let elapsed = BootTime::now().since(self.origin);
        let suspended: Duration = elapsed.saturating_sub(self.started_std.elapsed());
        self.origin.after(self.started.elapsed()).after(suspended)
    }
}

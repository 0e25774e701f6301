//! [`BootTime`].

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Point in time on the `CLOCK_BOOTTIME` clock, which counts from the boot of the VM and includes
/// suspensions.
///
/// `std::time::Instant` does not advance while the VM is suspended, so the age of evidence is measured with
/// this clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
        Self(Duration::new(secs, nanos))
    }

    /// The time `since_boot` after the boot of the VM.
    #[must_use]
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Time elapsed from `earlier` to `self`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `span` earlier, but not before the boot of the VM.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }

    /// The time `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

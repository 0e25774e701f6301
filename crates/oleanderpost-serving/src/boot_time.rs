//! [`BootTime`].

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Reading of the clock that counts from the start of the VM and also while the VM is suspended.
///
/// `std::time::Instant` stands still during a suspension, so the age of evidence is measured here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Reads the clock.
    #[must_use]
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
        Self(Duration::new(secs, nanos))
    }

    /// A reading at a span after the start of the VM.
    #[must_use]
    pub const fn new(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Time from `earlier` to this reading; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The reading `span` earlier; the start of the VM at least.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }

    /// The reading `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

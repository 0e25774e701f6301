//! [`WallClock`] and [`SystemClock`].

use std::time::SystemTime;

/// Source of wall-clock time; it reveals pauses during which the monotonic clock did not advance.
pub trait WallClock: Send + Sync {
    /// The current time.
    fn now(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn now(&self) -> SystemTime {
        SystemTime::now()
    }
}

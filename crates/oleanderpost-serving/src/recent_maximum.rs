//! [`RecentMaximum`].

use std::time::Duration;

use tokio::time::Instant;

/// Largest value of a count within a time window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentMaximum {
    window: Duration,
    value: usize,
    noted_at: Instant,
}

impl RecentMaximum {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            value: 0,
            noted_at: Instant::now(),
        }
    }

    /// Records the current value. A smaller one counts once the maximum has not been reached for the window.
    pub(crate) fn note(&mut self, value: usize) {
        if value >= self.value || self.noted_at.elapsed() > self.window {
            self.value = value;
            self.noted_at = Instant::now();
        }
    }

    pub(crate) fn value(&self) -> usize {
        self.value
    }
}

//! [`LoadMeter`].

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the exponentially decaying average.
const WINDOW: Duration = Duration::from_secs(10);

/// Exponentially decaying average of work per second.
#[derive(Debug)]
pub(crate) struct LoadMeter {
    decayed_work: f64,
    updated_at: Instant,
}

impl LoadMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            decayed_work: 0.0,
            updated_at: now,
        }
    }

    pub(crate) fn add(&mut self, work: f64, now: Instant) {
        self.decayed_work = self.decayed(now) + work;
        self.updated_at = now;
    }

    /// Average work per second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / WINDOW.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.decayed_work * (-age.as_secs_f64() / WINDOW.as_secs_f64()).exp()
    }
}

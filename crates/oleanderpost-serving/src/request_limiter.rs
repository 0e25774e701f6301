//! [`RequestLimiter`].

use crate::RequestRate;

/// Time by which a request may be early, in milliseconds. High rates thus allow bursts of a quarter of a
/// second's requests, low ones a single request.
const TOLERANCE_MS: f64 = 250.0;
/// Longest time between two requests, in milliseconds. An upstream that accepts none gets one nevertheless, whose
/// response tells whether that still holds.
const MAX_INTERVAL_MS: f64 = 10_000.0;

/// Spaces the requests to one upstream so that they keep to its limit (generic cell rate algorithm).
///
/// All times are milliseconds on a clock supplied by the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimiter {
    interval_ms: f64,
    /// Time at which the next request is due if all keep to the rate exactly.
    due_at: f64,
}

impl RequestLimiter {
    /// Creates a limiter that allows the first request after one interval, since the requests before `now` are
    /// not known.
    #[must_use]
    pub fn new(now: f64, rate: RequestRate) -> Self {
        let interval_ms = interval_ms(rate);
        Self {
            interval_ms,
            due_at: latest_due(now, interval_ms),
        }
    }

    /// Sets the time until the first request to `phase` times the interval, where `phase` is from 0 to 1.
    #[must_use]
    pub fn with_phase(self, now: f64, phase: f64) -> Self {
        let first_ms = self.interval_ms * phase.clamp(0.0, 1.0);
        Self {
            due_at: latest_due(now, first_ms),
            ..self
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: f64, rate: RequestRate) {
        self.interval_ms = interval_ms(rate);
        self.due_at = self.due_at.min(latest_due(now, self.interval_ms));
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        1e3 / self.interval_ms
    }

    /// Time until a request may be sent, in milliseconds; 0 if one may be sent now.
    #[must_use]
    pub fn wait_ms(&self, now: f64) -> f64 {
        (self.due_at - TOLERANCE_MS - now).max(0.0)
    }

    /// Counts a request that is sent as soon as [`wait_ms`](Self::wait_ms) has passed.
    pub fn take(&mut self, now: f64) {
        self.due_at = self.due_at.max(now) + self.interval_ms;
    }
}

fn interval_ms(rate: RequestRate) -> f64 {
    (1e3 / rate.per_second()).min(MAX_INTERVAL_MS)
}

fn latest_due(now: f64, interval_ms: f64) -> f64 {
    now + interval_ms + TOLERANCE_MS
}

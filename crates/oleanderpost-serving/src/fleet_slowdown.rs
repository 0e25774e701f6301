//! [`FleetSlowdown`].

/// Step by which the estimate follows a first event.
const STEP: f64 = 0.02;
/// Least time between two steps, in milliseconds: first events of a burst come late for other reasons, and two
/// seconds of them must not move the estimate beyond [`CONFIGURED_SPEED_TOLERANCE`].
const MIN_STEP_INTERVAL_MS: f64 = 250.0;
/// Factor below which the stated speed is taken to be right: first events come at the end of a pass, which
/// adds up to half of the expected time for short prompts.
const CONFIGURED_SPEED_TOLERANCE: f64 = 1.25;
/// Greatest factor.
const MAX_FACTOR: f64 = 3.0;

/// How much slower than the operator states all engines of a service are: the median of seen over expected
/// times, followed step by step.
///
/// A median, so that neither a few slow engines nor slow nodes move it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetSlowdown {
    median: f64,
    stepped_at: f64,
}

impl FleetSlowdown {
    pub(crate) fn new() -> Self {
        Self {
            median: 1.0,
            stepped_at: f64::NEG_INFINITY,
        }
    }

    /// Notes a first event that took `ratio` times as long as the stated speed lets expect.
    pub(crate) fn note_ratio(&mut self, now: f64, ratio: f64) {
        if now - self.stepped_at < MIN_STEP_INTERVAL_MS {
            return;
        }
        self.stepped_at = now;
        let step = if ratio > self.median {
            1.0 + STEP
        } else {
            1.0 / (1.0 + STEP)
        };
        self.median = (self.median * step).clamp(1.0, MAX_FACTOR);
    }

    /// Factor on all stated times.
    pub(crate) fn factor(self) -> f64 {
        if self.median < CONFIGURED_SPEED_TOLERANCE {
            1.0
        } else {
            self.median
        }
    }
}

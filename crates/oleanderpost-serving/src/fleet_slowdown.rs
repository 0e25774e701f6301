//! [`FleetSlowdown`].

/// Relative step by which the estimate moves towards a new ratio.
const STEP: f64 = 0.02;
/// Minimum time between two steps, in milliseconds. In a burst, first events are late for other reasons,
/// and two seconds of such events must not move the estimate beyond [`CONFIGURED_SPEED_TOLERANCE`].
const MIN_STEP_INTERVAL_MS: f64 = 250.0;
/// Factor below which the configured speed is taken as correct. First events arrive at the end of a pass,
/// which adds up to half of the expected time for short prompts.
const CONFIGURED_SPEED_TOLERANCE: f64 = 1.25;
/// Maximum factor.
const MAX_FACTOR: f64 = 3.0;

/// Slowdown of all engines of a service relative to the configured speed: the median of the ratios of
/// actual to expected time, estimated step by step.
///
/// The median is used so that a few slow engines or nodes do not affect the estimate.
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

    /// Records a first event that took `ratio` times as long as the configured speed predicts.
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

    /// Factor on all configured times.
    pub(crate) fn factor(self) -> f64 {
        if self.median < CONFIGURED_SPEED_TOLERANCE {
            1.0
        } else {
            self.median
        }
    }
}

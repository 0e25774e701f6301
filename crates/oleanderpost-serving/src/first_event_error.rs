//! [`FirstEventError`].

/// Weight of a new measurement in the mean.
const WEIGHT: f64 = 1.0 / 32.0;
/// Largest overrun that counts, as a share of the expected time. Longer ones are failures of single engines.
const MAX_OVERRUN: f64 = 1.0;

/// Mean share by which first events come later than expected, measured on all engines of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FirstEventError {
    mean_overrun: f64,
}

impl FirstEventError {
    /// Records a first event that took `ratio` times the expected time.
    pub(crate) fn note_ratio(&mut self, ratio: f64) {
        let overrun = (ratio - 1.0).clamp(0.0, MAX_OVERRUN);
        self.mean_overrun += WEIGHT * (overrun - self.mean_overrun);
    }

    /// Longest expected time to the first event with which it still comes within `limit_ms`, overrun included.
    pub(crate) fn longest_estimate_ms(self, limit_ms: f64) -> f64 {
        limit_ms / (1.0 + self.mean_overrun)
    }
}

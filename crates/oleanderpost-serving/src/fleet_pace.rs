//! [`FleetPace`].

/// Step by which the estimate follows each first event.
const STEP: f64 = 0.02;
/// Factor below which the stated speed is taken to be right: first events come at the end of a pass, which
/// adds up to half of the expected time for short prompts.
const RIGHT: f64 = 1.15;
/// Greatest factor.
const MOST: f64 = 10.0;

/// How much slower than the operator states all engines of a service are: the median of seen over expected
/// times, followed step by step.
///
/// A median, so that neither a few slow engines nor slow nodes move it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetPace {
    median: f64,
}

impl FleetPace {
    pub(crate) fn new() -> Self {
        Self { median: 1.0 }
    }

    /// Notes a first event that took `ratio` times as long as the stated speed lets expect.
    pub(crate) fn note(&mut self, ratio: f64) {
        let step = if ratio > self.median {
            1.0 + STEP
        } else {
            1.0 / (1.0 + STEP)
        };
        self.median = (self.median * step).clamp(1.0, MOST);
    }

    /// Factor on all stated times.
    pub(crate) fn factor(self) -> f64 {
        if self.median < RIGHT {
            1.0
        } else {
            self.median
        }
    }
}

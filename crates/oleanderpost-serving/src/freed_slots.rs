//! [`FreedSlots`].

/// Difference between mean and median of a count of independent rare events (Poisson distribution).
const MEDIAN_OFFSET: f64 = 1.0 / 3.0;

/// Number of slots that are expected to become free within some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FreedSlots {
    mean: f64,
    variance: f64,
}

impl FreedSlots {
    /// Adds a slot that becomes free with the given probability.
    pub(crate) fn add_slot(&mut self, probability: f64) {
        self.mean += probability;
        self.variance += probability * (1.0 - probability);
    }

    /// Adds slots that become free for certain.
    pub(crate) fn add_free(&mut self, slots: f64) {
        self.mean += slots;
    }

    /// Expected number.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Whether at least `needed` slots are more likely than fewer.
    pub(crate) fn are_likely(&self, needed: f64) -> bool {
        self.mean + MEDIAN_OFFSET >= needed
    }

    /// Whether at least `needed` slots are possible within the standard deviation of the number.
    pub(crate) fn are_possible(&self, needed: f64) -> bool {
        self.mean + MEDIAN_OFFSET + self.variance.sqrt() >= needed
    }
}

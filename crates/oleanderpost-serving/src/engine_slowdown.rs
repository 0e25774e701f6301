//! [`EngineSlowdown`].

use std::collections::VecDeque;

/// First events that tell of an engine's speed: one that came late may be the fault of the way or of the node.
const SAMPLES: usize = 3;
/// Factor above which an engine counts as slow. Estimates are right to within 2.4 for 99 in 100 of the short
/// prompts, seldom three times in a row.
const SLOW_FACTOR: f64 = 2.0;
/// Time for which an engine is taken to be as slow as it was seen, in milliseconds.
const ESTIMATE_TTL_MS: f64 = 2_000.0;

/// How much slower than its like an engine is, from the first events that it gave lately.
///
/// Answers engines that become slow without failing. One that was slow is tried with one request after a
/// while.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSlowdown {
    /// Seen over expected times.
    ratios: VecDeque<f64>,
    updated_at: f64,
}

impl EngineSlowdown {
    /// Notes a first event that took `ratio` times as long as on other engines.
    pub(crate) fn note_ratio(&mut self, now: f64, ratio: f64) {
        if self.ratios.len() == SAMPLES {
            self.ratios.pop_front();
        }
        self.ratios.push_back(ratio);
        self.updated_at = now;
    }

    /// Factor on all times; 1 for an engine that is not known to be slow.
    pub(crate) fn factor(&self, now: f64) -> f64 {
        if self.was_slow() && now - self.updated_at <= ESTIMATE_TTL_MS {
            self.min_ratio()
        } else {
            1.0
        }
    }

    /// Whether the engine was slow when it was last seen, too long ago to say that it still is.
    pub(crate) fn needs_probe(&self, now: f64) -> bool {
        self.was_slow() && now - self.updated_at > ESTIMATE_TTL_MS
    }

    /// Whether the engine was slow when it was last seen.
    pub(crate) fn was_slow(&self) -> bool {
        self.ratios.len() == SAMPLES && self.min_ratio() > SLOW_FACTOR
    }

    fn min_ratio(&self) -> f64 {
        self.ratios.iter().copied().fold(f64::INFINITY, f64::min)
    }
}

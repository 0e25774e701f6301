//! [`EngineSlowdown`].

use std::collections::VecDeque;

/// Number of first events that determine an engine's speed. A single late one may be caused by the network
/// or the node.
const SAMPLES: usize = 3;
/// Factor above which an engine counts as slow. Estimates are accurate to a factor of 2.4 for 99 % of short
/// prompts, and rarely off by more than this factor three times in a row.
const SLOW_FACTOR: f64 = 2.0;
/// Time for which a measured slowdown is considered valid, in milliseconds.
const ESTIMATE_TTL_MS: f64 = 2_000.0;

/// Slowdown of an engine relative to comparable engines, measured from its latest first events.
///
/// Detects engines that become slow without failing. After a while, an engine that was slow is probed with
/// a single request.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSlowdown {
    /// Ratios of actual to expected time.
    ratios: VecDeque<f64>,
    updated_at: f64,
}

impl EngineSlowdown {
    /// Records a first event that took `ratio` times as long as on other engines.
    pub(crate) fn note_ratio(&mut self, now: f64, ratio: f64) {
        if self.ratios.len() == SAMPLES {
            self.ratios.pop_front();
        }
        self.ratios.push_back(ratio);
        self.updated_at = now;
    }

    /// Adopts a factor that another scheduler measured at `measured_at`, unless a later one is known; returns whether
    /// it was adopted.
    pub(crate) fn learn(&mut self, measured_at: f64, factor: f64) -> bool {
        if !self.ratios.is_empty() && measured_at <= self.updated_at {
            return false;
        }
        self.ratios = std::iter::repeat_n(factor, SAMPLES).collect();
        self.updated_at = measured_at;
        true
    }

    /// The factor of an engine that was slow when last measured, and the time of that measurement.
    pub(crate) fn last_slow(&self) -> Option<(f64, f64)> {
        self.was_slow().then(|| (self.min_ratio(), self.updated_at))
    }

    /// Factor on all times; 1 unless the engine is known to be slow.
    pub(crate) fn factor(&self, now: f64) -> f64 {
        if self.was_slow() && now - self.updated_at <= ESTIMATE_TTL_MS {
            self.min_ratio()
        } else {
            1.0
        }
    }

    /// Whether the engine was slow when last measured, but that measurement has expired.
    pub(crate) fn needs_probe(&self, now: f64) -> bool {
        self.was_slow() && now - self.updated_at > ESTIMATE_TTL_MS
    }

    /// Whether the engine was slow when last measured.
    pub(crate) fn was_slow(&self) -> bool {
        self.ratios.len() == SAMPLES && self.min_ratio() > SLOW_FACTOR
    }

    fn min_ratio(&self) -> f64 {
        self.ratios.iter().copied().fold(f64::INFINITY, f64::min)
    }
}

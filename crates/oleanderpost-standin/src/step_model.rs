//! [`StepModel`] and [`StepWork`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Length of one step of an engine, as a sum of parts.
///
/// `base + decode * batch + prefill * chunk + attention`, where the attention part grows with
/// the context that the step reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepModel {
    /// Part that each step has, in microseconds.
    pub base_us: f64,
    /// Part per decoding stream, in microseconds.
    pub decode_us: f64,
    /// Part per token of prefill, in microseconds.
    pub prefill_us: f64,
    /// Attention part per context token of each decoding stream, in nanoseconds.
    pub decode_attention_ns: f64,
    /// Attention part per prefill token and thousand tokens of context before it, in nanoseconds.
    pub prefill_attention_ns: f64,
}

/// Work of one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepWork {
    /// Decoding streams.
    pub batch: u64,
    /// Prompt tokens that the step prefills.
    pub chunk: u64,
    /// Context tokens of all decoding streams.
    pub context: u64,
    /// Sum of prefill tokens times the context before them.
    pub prefill_context: f64,
}

impl Default for StepModel {
    fn default() -> Self {
        Self {
            base_us: 6_000.0,
            decode_us: 60.0,
            prefill_us: 18.0,
            decode_attention_ns: 20.0,
            prefill_attention_ns: 40.0,
        }
    }
}

impl StepModel {
    /// Length of a step.
    #[must_use]
    pub fn step_duration(&self, work: &StepWork) -> Duration {
        let micros = self.base_us
            + self.decode_us * work.batch as f64
            + self.prefill_us * work.chunk as f64
            + self.decode_attention_ns * work.context as f64 / 1e3
            + self.prefill_attention_ns * work.prefill_context / 1e6;
        Duration::from_secs_f64(micros.max(0.0) / 1e6)
    }
}

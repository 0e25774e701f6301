//! [`StepModel`] and [`StepWork`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Model of the duration of one engine step, as a sum of terms.
///
/// `base + decode * batch + prefill * chunk + attention`, where the attention term grows with
/// the context that the step reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepModel {
    /// Fixed time per step, in microseconds.
    pub base_us: f64,
    /// Time per decoding stream, in microseconds.
    pub decode_us: f64,
    /// Time per prefill token, in microseconds.
    pub prefill_us: f64,
    /// Attention time per context token of each decoding stream, in nanoseconds.
    pub decode_attention_ns: f64,
    /// Attention time per prefill token and thousand tokens of preceding context, in nanoseconds.
    pub prefill_attention_ns: f64,
}

/// Work done in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepWork {
    /// Number of decoding streams.
    pub batch: u64,
    /// Number of prompt tokens that the step prefills.
    pub chunk: u64,
    /// Total number of context tokens of all decoding streams.
    pub context: u64,
    /// Sum over all prefill chunks of tokens times preceding context tokens.
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
    /// Duration of a step.
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

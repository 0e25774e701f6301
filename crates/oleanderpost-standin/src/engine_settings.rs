//! [`EngineSettings`].

use std::{ops::RangeInclusive, time::Duration};

use serde::{Deserialize, Serialize};

use oleanderpost_types::{EngineRole, Millis, ModelName, Tokens, UpstreamId};

use crate::{Error, Result, StepModel};

/// Settings of an engine stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the engine.
    pub id: UpstreamId,
    /// Model loaded at startup.
    pub model: ModelName,
    /// Version of the model.
    pub version: u64,
    /// Role at startup.
    pub role: EngineRole,
    /// Size of the KV cache memory.
    pub memory: Tokens,
    /// Size of a memory block.
    pub block: Tokens,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk: Tokens,
    /// Maximum number of streams that run concurrently.
    pub max_batch: usize,
    /// Maximum number of streams that wait for memory or a slot in the batch.
    pub queue_bound: usize,
    /// Model of the step duration.
    pub step: StepModel,
    /// Speed-up factor of steps and model loading. Lags, windows and time limits are not scaled.
    pub time_scale: f64,
    /// Time for which a stream without a reader continues and keeps its memory.
    pub resume_window_ms: Millis,
    /// Time for which the answer of an ended stream can still be read.
    pub retain_ms: Millis,
    /// Lag of load reports.
    pub load_lag_ms: Millis,
    /// Lag of cache events.
    pub cache_lag_ms: Millis,
    /// Fraction of cache events that are lost, from 0 to 1.
    pub cache_gaps: f64,
    /// Time to load a model or adapter.
    pub loading_ms: Millis,
    /// Time after which an exported cache is freed.
    pub export_ttl_ms: Millis,
    /// Whether orders with an outdated fencing number are refused.
    pub honours_fencing: bool,
    /// Bearer token that orders must carry. If unset, orders need no authentication.
    pub order_token: Option<String>,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            id: UpstreamId::new("engine-0").expect("the name is valid"),
            model: ModelName::new("base").expect("the name is valid"),
            version: 1,
            role: EngineRole::Both,
            memory: Tokens::new(400_000),
            block: Tokens::new(256),
            chunk: Tokens::new(1_024),
            max_batch: 128,
            queue_bound: 64,
            step: StepModel::default(),
            time_scale: 1.0,
            resume_window_ms: Millis::new(30_000),
            retain_ms: Millis::new(60_000),
            load_lag_ms: Millis::new(500),
            cache_lag_ms: Millis::new(1_000),
            cache_gaps: 0.05,
            loading_ms: Millis::new(2_000),
            export_ttl_ms: Millis::new(10_000),
            honours_fencing: true,
            order_token: None,
            seed: 1,
        }
    }
}

/// Allowed range of `time_scale`.
const TIME_SCALE: RangeInclusive<f64> = 0.001..=1e6;
/// Allowed range of the step model's coefficients.
const COEFFICIENT: RangeInclusive<f64> = 0.0..=1e9;
/// Allowed range of `cache_gaps`.
const GAPS: RangeInclusive<f64> = 0.0..=1.0;

impl EngineSettings {
    /// Checks that all settings are in their ranges.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with every violation.
    pub fn check(&self) -> Result<()> {
        let mut errors = Vec::new();
        let mut check_range = |name: &str, value: f64, range: RangeInclusive<f64>| {
            if !range.contains(&value) {
                let (from, to) = (range.start(), range.end());
                errors.push(format!("{name}: {value} is outside {from} to {to}"));
            }
        };
        let step = &self.step;
        check_range("time_scale", self.time_scale, TIME_SCALE);
        check_range("cache_gaps", self.cache_gaps, GAPS);
        check_range("step.base_us", step.base_us, COEFFICIENT);
        check_range("step.decode_us", step.decode_us, COEFFICIENT);
        check_range("step.prefill_us", step.prefill_us, COEFFICIENT);
        check_range(
            "step.decode_attention_ns",
            step.decode_attention_ns,
            COEFFICIENT,
        );
        check_range(
            "step.prefill_attention_ns",
            step.prefill_attention_ns,
            COEFFICIENT,
        );
        let at_least_one = [
            ("block", self.block.get()),
            ("chunk", self.chunk.get()),
            ("max_batch", self.max_batch as u64),
            ("memory in blocks", self.total_blocks()),
        ];
        let zero = at_least_one.into_iter().filter(|(_, value)| *value == 0);
        errors.extend(zero.map(|(name, _)| format!("{name}: 0 is less than 1")));
        if errors.is_empty() {
            return Ok(());
        }
        Err(Error::Settings(errors))
    }

    /// Returns the number of blocks that `tokens` need.
    pub(crate) fn blocks(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block_size())
    }

    /// Returns the number of blocks in the whole memory.
    pub(crate) fn total_blocks(&self) -> u64 {
        self.memory.get() / self.block_size()
    }

    /// Returns the number of tokens that `blocks` hold.
    pub(crate) fn tokens(&self, blocks: u64) -> Tokens {
        Tokens::new(blocks * self.block_size())
    }

    /// Converts a duration of the step model to wall-clock time.
    pub(crate) fn scaled(&self, duration: Duration) -> Duration {
        duration.div_f64(self.time_scale)
    }

    pub(crate) fn block_size(&self) -> u64 {
        self.block.get().max(1)
    }
}

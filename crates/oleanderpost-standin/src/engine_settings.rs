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
    /// Model that is loaded at the start.
    pub model: ModelName,
    /// Its version.
    pub version: u64,
    /// Role at the start.
    pub role: EngineRole,
    /// Memory for KV cache.
    pub memory: Tokens,
    /// Size of one block of memory.
    pub block: Tokens,
    /// Most prompt tokens that one step prefills.
    pub chunk: Tokens,
    /// Most streams that run at a time.
    pub max_batch: usize,
    /// Most streams that wait for memory or a place in the batch.
    pub queue_bound: usize,
    /// Step time.
    pub step: StepModel,
    /// Factor by which steps and loading are faster than the step model says. Lags, windows and
    /// time limits are not scaled.
    pub time_scale: f64,
    /// Time for which a stream without a reader goes on and keeps its memory.
    pub resume_window_ms: Millis,
    /// Time for which a finished answer can still be read.
    pub retain_ms: Millis,
    /// Lag of load reports.
    pub load_lag_ms: Millis,
    /// Lag of cache events.
    pub cache_lag_ms: Millis,
    /// Share of cache events that are lost, from 0 to 1.
    pub cache_gaps: f64,
    /// Time to load a model or adapter.
    pub loading_ms: Millis,
    /// Time after which an exported cache is freed.
    pub export_ttl_ms: Millis,
    /// Whether an order with an old fencing number is refused.
    pub honours_fencing: bool,
    /// Bearer token that orders must carry; anyone may order without it.
    pub order_token: Option<String>,
    /// Seed of all random choices.
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

/// Allowed factors of `time_scale`.
const TIME_SCALE: RangeInclusive<f64> = 0.001..=1e6;
/// Allowed coefficients of the step model.
const COEFFICIENT: RangeInclusive<f64> = 0.0..=1e9;
/// Allowed shares of lost cache events.
const GAPS: RangeInclusive<f64> = 0.0..=1.0;

impl EngineSettings {
    /// Checks that all settings are in their ranges.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with every fault.
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

    /// Blocks that `tokens` need.
    pub(crate) fn blocks(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block_size())
    }

    /// Blocks in the whole memory.
    pub(crate) fn total_blocks(&self) -> u64 {
        self.memory.get() / self.block_size()
    }

    /// Tokens that `blocks` hold.
    pub(crate) fn tokens(&self, blocks: u64) -> Tokens {
        Tokens::new(blocks * self.block_size())
    }

    /// Span on the wall clock of a span in the step model.
    pub(crate) fn scaled(&self, duration: Duration) -> Duration {
        duration.div_f64(self.time_scale)
    }

    pub(crate) fn block_size(&self) -> u64 {
        self.block.get().max(1)
    }
}

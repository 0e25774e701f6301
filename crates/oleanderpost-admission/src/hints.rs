//! [`Hints`].

use std::{collections::BTreeMap, time::Duration};

use oleanderpost_types::{Tokens, UpstreamId};
use tokio::time::Instant;

use crate::{Band, EngineSummary, FirstTokenModel, PrefillWork};

/// Last known engine summaries from their owners. Only used to choose an engine; the owner decides.
#[derive(Debug, Default)]
pub(crate) struct Hints {
    engines: BTreeMap<UpstreamId, Hint>,
}

#[derive(Debug)]
struct Hint {
    summary: EngineSummary,
    received_at: Instant,
}

/// Length and memory of a prompt to be placed on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptSize {
    pub(crate) band: Band,
    pub(crate) prompt: Tokens,
    pub(crate) memory: Tokens,
}

impl Hints {
    pub(crate) fn update(&mut self, summary: EngineSummary, now: Instant) {
        let hint = Hint {
            summary,
            received_at: now,
        };
        self.engines.insert(hint.summary.upstream.clone(), hint);
    }

    /// Removes all hints, after a pause of the process.
    pub(crate) fn clear(&mut self) {
        self.engines.clear();
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.engines.retain(|id, _| is_known(id));
    }

    /// Learned model of an engine; without observations, the model with the most observations.
    pub(crate) fn model(&self, id: &UpstreamId) -> Option<&FirstTokenModel> {
        let own_model = self.engines.get(id).map(|hint| &hint.summary.model);
        let own_model = own_model.filter(|model| model.observations() > 0);
        let models = self.engines.values().map(|hint| &hint.summary.model);
        own_model.or_else(|| models.max_by_key(|model| model.observations()))
    }

    pub(crate) fn summaries(&self) -> impl Iterator<Item = &EngineSummary> {
        self.engines.values().map(|hint| &hint.summary)
    }

    /// Estimated time of the prompt's prefill alone.
    pub(crate) fn prefill_time(&self, id: &UpstreamId, prompt: Tokens) -> Duration {
        let own_prefill = PrefillWork::with_prompt(prompt, Tokens::default());
        match self.engines.get(id) {
            Some(hint) => hint.summary.model.estimate(own_prefill),
            None => FirstTokenModel::default().estimate(own_prefill),
        }
    }

    /// Prefill time saved by cached prompt tokens.
    pub(crate) fn cache_saving(&self, id: &UpstreamId, prompt: Tokens, cached: Tokens) -> Duration {
        let remaining = PrefillWork::with_prompt(prompt, cached);
        let model = self.engines.get(id).map(|hint| hint.summary.model.clone());
        let remaining = model.unwrap_or_default().estimate(remaining);
        self.prefill_time(id, prompt).saturating_sub(remaining)
    }

    /// Delay that a prompt with higher priority adds to the long prefills of an engine.
    pub(crate) fn long_prefill_delay(&self, id: &UpstreamId, size: PromptSize) -> Duration {
        match self.engines.get(id) {
            Some(hint) if !size.band.is_long() => {
                self.prefill_time(id, size.prompt) * hint.summary.longs
            }
            _ => Duration::ZERO,
        }
    }

    /// Estimated time to the first token, including the wait for memory.
    pub(crate) fn first_token(&self, id: &UpstreamId, size: PromptSize, now: Instant) -> Duration {
        let Some(hint) = self.engines.get(id) else {
            return self.prefill_time(id, size.prompt);
        };
        let age = now.saturating_duration_since(hint.received_at);
        let summary = &hint.summary;
        let own_prefill = PrefillWork::with_prompt(size.prompt, Tokens::default());
        let step = Duration::from(summary.step).as_secs_f64();
        let ahead = PrefillWork::from(summary.ahead[band_index(size.band)]);
        let ahead = summary.model.estimate(ahead).saturating_sub(age);
        let memory = summary.memory_wait(size.memory).saturating_sub(age);
        ahead.max(memory) + summary.model.estimate(own_prefill.with_step(step))
    }
}

impl EngineSummary {
    fn memory_wait(&self, need: Tokens) -> Duration {
        let [half, nearly_all] = self.memory_wait;
        if need <= self.free {
            return Duration::ZERO;
        }
        let wait = if Duration::from(half) > Duration::ZERO {
            half
        } else {
            nearly_all
        };
        wait.into()
    }
}

const fn band_index(band: Band) -> usize {
    match band {
        Band::Short => 0,
        Band::Medium => 1,
        Band::Long | Band::Group => 2,
    }
}

//! Choice of an engine at an entry node, based on hints.

use std::time::Duration;

use oleanderpost_types::{ServiceName, Tokens, UpstreamId, VmId};
use rand::RngExt;
use tokio::time::Instant;

use crate::{
    Band, Fingerprint,
    fleet::{FleetService, FleetUpstream},
    hints::PromptSize,
    load_meter::LoadMeter,
    shared::State,
};

/// Maximum number of engines compared for one request.
const MAX_COMPARED: usize = 32;
/// Maximum random share added to an estimate, so that nodes with the same hints choose differently.
const JITTER: f64 = 0.1;

/// The chosen engine, and the cost of the next best one.
#[derive(Clone, Debug)]
pub(crate) struct EngineChoice {
    pub(crate) upstream: UpstreamId,
    pub(crate) owner: VmId,
    pub(crate) first_token: Duration,
    /// Cost of the next best engine, if there is one.
    pub(crate) alternative: Option<Duration>,
}

/// An engine and its estimated cost for a prompt.
struct Candidate<'a> {
    engine: &'a FleetUpstream,
    owner: VmId,
    first_token: Duration,
    /// Time to the first token plus the delay caused to other requests.
    cost: Duration,
}

impl State {
    /// Chooses the engine with the lowest cost: time to the first token plus delay to other requests.
    pub(crate) fn choose_engine(
        &mut self,
        service: &FleetService,
        size: PromptSize,
        prefix: &[Fingerprint],
        excluded: &[UpstreamId],
        now: Instant,
    ) -> Option<EngineChoice> {
        let eligible = self.eligible_engines(service, size, excluded, now);
        let mut candidates: Vec<_> = eligible
            .into_iter()
            .filter_map(|engine| self.candidate(engine, size, prefix, now))
            .collect();
        candidates.sort_by_key(|candidate| candidate.cost);
        let alternative = candidates.get(1).map(|candidate| candidate.cost);
        let best = candidates.into_iter().next()?;
        Some(EngineChoice {
            upstream: best.engine.view.id.clone(),
            owner: best.owner,
            first_token: best.first_token,
            alternative,
        })
    }

    fn candidate<'a>(
        &mut self,
        engine: &'a FleetUpstream,
        size: PromptSize,
        prefix: &[Fingerprint],
        now: Instant,
    ) -> Option<Candidate<'a>> {
        let id = &engine.view.id;
        let owner = engine.owner.clone()?;
        let jitter = 1.0 + JITTER * self.rng.random::<f64>();
        let cached = self.prefix_locations.cached(prefix, id);
        let saved = self.hints.cache_saving(id, size.prompt, cached);
        let first_token = self.hints.first_token(id, size, now).saturating_sub(saved);
        let first_token = first_token.mul_f64(jitter);
        let cost = first_token + self.hints.long_prefill_delay(id, size);
        Some(Candidate {
            engine,
            owner,
            first_token,
            cost,
        })
    }

    /// Engines eligible for the prompt. Long prompts leave some engines to shorter ones.
    fn eligible_engines<'a>(
        &mut self,
        service: &'a FleetService,
        size: PromptSize,
        excluded: &[UpstreamId],
        now: Instant,
    ) -> Vec<&'a FleetUpstream> {
        let mut live: Vec<_> = service.live().collect();
        if size.band.is_long() {
            let reserved = self.short_prompt_engines(&service.view.name, live.len(), now);
            live.truncate(live.len().saturating_sub(reserved).max(1));
        }
        self.shuffle(&mut live);
        let is_eligible = |engine: &&FleetUpstream| {
            let id = &engine.view.id;
            let has_memory = engine.view.memory >= size.memory;
            has_memory && !excluded.contains(id) && self.local_upstreams.breaker_allows(id, now)
        };
        live.into_iter()
            .filter(is_eligible)
            .take(MAX_COMPARED)
            .collect()
    }

    /// Moves a random sample to the front if there are more engines than are compared.
    fn shuffle(&mut self, live: &mut [&FleetUpstream]) {
        if live.len() <= MAX_COMPARED {
            return;
        }
        for i in 0..MAX_COMPARED {
            let other = self.rng.random_range(i..live.len());
            live.swap(i, other);
        }
    }

    /// Number of engines reserved for short and medium prompts, from their measured load with headroom.
    pub(crate) fn short_prompt_engines(
        &self,
        service: &ServiceName,
        engines: usize,
        now: Instant,
    ) -> usize {
        let load = self
            .short_prompt_load
            .get(service)
            .map_or(0.0, |meter| meter.rate(now));
        let nodes = self.fleet.reachable_nodes().count().max(1);
        let busy_engines = load * nodes as f64 * self.short_headroom;
        (busy_engines.ceil() as usize).clamp(1, engines.saturating_sub(1).max(1))
    }

    /// Adds the prefill work of a short or medium request to the load measurement.
    pub(crate) fn record_short_load(
        &mut self,
        service: &FleetService,
        size: PromptSize,
        now: Instant,
    ) {
        if size.band.is_long() {
            return;
        }
        let Some(engine) = service.live().next() else {
            return;
        };
        let prefill_time = self.hints.prefill_time(&engine.view.id, size.prompt);
        let meter = self.short_prompt_load.entry(service.view.name.clone());
        let meter = meter.or_insert_with(|| LoadMeter::new(now));
        meter.add(prefill_time.as_secs_f64(), now);
    }
}

impl PromptSize {
    pub(crate) fn new(band: Band, prompt: Tokens, max_tokens: Tokens) -> Self {
        Self {
            band,
            prompt,
            memory: prompt.saturating_add(max_tokens),
        }
    }
}

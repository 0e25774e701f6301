//! [`EngineLoad`].

use std::collections::BTreeMap;

use crate::{
    DataCentreName, EngineLimit, EngineProfile, RequestLimiter, SlowEngine, UpstreamId, Work,
    WorkId, engine_slowdown::EngineSlowdown, freed_slots::FreedSlots, hold_times::HoldTimes,
};

/// Safety factor on the estimated pass time when it is compared with the pauses that callers tolerate.
const PAUSE_MARGIN: f64 = 1.12;
/// Exclusion time after the first of several consecutive failures, in milliseconds; doubled with each
/// further failure.
const EXCLUSION_MS: f64 = 700.0;
/// Maximum exclusion time in milliseconds.
const MAX_EXCLUSION_MS: f64 = 6_000.0;
/// Exclusion time of an engine that was full, in milliseconds.
const SHED_EXCLUSION_MS: f64 = 120.0;
/// A prompt is overdue once it has waited for its first event for the expected time multiplied by this
/// factor, plus [`OVERDUE_SLACK_MS`].
const OVERDUE_FACTOR: f64 = 1.5;
/// Constant part of that threshold, in milliseconds.
const OVERDUE_SLACK_MS: f64 = 300.0;
/// Maximum prefill time in one pass on an engine that takes part in a distributed answer, in milliseconds.
/// All engines of the group wait for each pass, so slow passes keep the memory of several engines occupied
/// for longer.
const DISTRIBUTED_MAX_PREFILL_MS: f64 = 120.0;
/// Share of an engine's memory that may be allocated.
const USABLE_MEMORY_SHARE: f64 = 0.97;

/// The part of a request that one engine serves.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPart {
    /// Tokens in the whole prompt.
    pub prompt: f64,
    /// Share of the prompt that this engine prefills.
    pub share: f64,
    /// Maximum prefill time of that share in one pass, in milliseconds.
    pub prefill_pass_ms: f64,
    /// Tokens of memory used on this engine.
    pub memory: f64,
    /// Expected number of tokens in the answer.
    pub answer: f64,
    /// Longest pause between events that the caller tolerates, in milliseconds.
    pub pause_ms: f64,
    /// Whether the answer is decoded here.
    pub decodes: bool,
    /// Whether several engines take part in every decode step.
    pub distributed: bool,
    /// Time of placement.
    pub placed_at: f64,
    /// Expected end of the prefill.
    pub prefill_until: f64,
    /// Expected time to the first event.
    pub expected_ms: f64,
    /// Slowdown factor of the engine that is included in `expected_ms`.
    pub slowdown: f64,
    /// Time of the first event.
    pub first_event_at: Option<f64>,
    /// Expected time for which the part holds its slot.
    pub hold_ms: f64,
}

/// What an engine does for a request that is placed on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartSpec {
    /// Share of the prompt that it prefills.
    pub share: f64,
    /// Whether the answer is decoded there.
    pub decodes: bool,
    /// Whether several engines take part in every decode step.
    pub distributed: bool,
    /// Tokens of memory used there.
    pub memory: f64,
}

/// Totals over the parts on an engine, kept so that a search does not iterate over them.
#[derive(Clone, Copy, Debug)]
struct Totals {
    /// Tokens of memory in use.
    memory: f64,
    /// Tokens of memory of the requests that have had their first event.
    context: f64,
    /// Number of those requests.
    decoding: usize,
    /// Prefill time in one pass, in milliseconds.
    prefill_pass_ms: f64,
    /// Shortest of the pauses that the callers tolerate.
    shortest_pause: f64,
    /// Whether the engine takes part in a distributed answer.
    distributed: bool,
    /// Time at which the first of the requests without a first event is overdue.
    overdue_at: f64,
}

impl Totals {
    fn new<'a>(parts: impl Iterator<Item = &'a RequestPart>) -> Self {
        let mut totals = Self {
            memory: 0.0,
            context: 0.0,
            decoding: 0,
            prefill_pass_ms: 0.0,
            shortest_pause: f64::INFINITY,
            distributed: false,
            overdue_at: f64::INFINITY,
        };
        for part in parts {
            totals.add(part);
        }
        totals
    }

    fn add(&mut self, part: &RequestPart) {
        self.memory += part.memory;
        self.distributed |= part.distributed;
        if part.decodes {
            self.shortest_pause = self.shortest_pause.min(part.pause_ms);
        }
        if part.first_event_at.is_some() {
            self.context += part.memory;
            self.decoding += 1;
        } else {
            let expected = part.prefill_until - part.placed_at;
            let overdue_at = part.placed_at + expected * OVERDUE_FACTOR + OVERDUE_SLACK_MS;
            self.prefill_pass_ms += part.prefill_pass_ms;
            self.overdue_at = self.overdue_at.min(overdue_at);
        }
    }
}

/// Load of one engine as known to a scheduler. Times in milliseconds.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    id: UpstreamId,
    /// Data centre of the engine.
    pub data_centre: DataCentreName,
    /// Start time of the process, as in [`Upstream::started_at`](crate::Upstream::started_at).
    started_at: Option<u64>,
    parts: BTreeMap<WorkId, RequestPart>,
    totals: Totals,
    /// Expected end of all placed prefills.
    prefill_until: f64,
    slowdown: EngineSlowdown,
    failures: u32,
    excluded_until: f64,
    /// Set while the engine limits its requests.
    limiter: Option<RequestLimiter>,
    cold: bool,
}

/// Estimated effect of placing a prompt on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementEstimate {
    /// Expected time to the first event.
    pub first_event_ms: f64,
    /// Expected end of the prefill.
    pub prefill_until: f64,
    /// Whether the pauses of all requests on the engine stay within what their callers tolerate.
    pub keeps_pauses: bool,
    /// Longest pass while the prompt is prefilled.
    pub longest_pass_ms: f64,
    /// Whether the engine is slower than comparable engines.
    pub slow: bool,
}

impl EngineLoad {
    /// Creates the load of an engine without requests.
    #[must_use]
    pub fn new(id: UpstreamId, data_centre: DataCentreName) -> Self {
        Self {
            id,
            data_centre,
            started_at: None,
            parts: BTreeMap::new(),
            totals: Totals::new(std::iter::empty()),
            prefill_until: 0.0,
            slowdown: EngineSlowdown::default(),
            failures: 0,
            excluded_until: 0.0,
            limiter: None,
            cold: false,
        }
    }

    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether the engine has no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The requests on the engine.
    pub fn parts(&self) -> impl Iterator<Item = (&WorkId, &RequestPart)> {
        self.parts.iter()
    }

    /// Whether the engine is excluded because it failed requests or was full.
    #[must_use]
    pub fn is_excluded(&self, now: f64) -> bool {
        now < self.excluded_until
    }

    /// Sets the limit on the requests that this scheduler may place here; `None` if there is none.
    pub fn set_limit(&mut self, now: f64, limit: Option<EngineLimit>) {
        self.cold = limit.is_some_and(|limit| limit.cold);
        match (&mut self.limiter, limit) {
            (_, None) => self.limiter = None,
            (Some(limiter), Some(limit)) => limiter.set_rate(now, limit.rate),
            (None, Some(limit)) => {
                let limiter = RequestLimiter::new(now, limit.rate);
                self.limiter = Some(limiter.with_phase(now, limit.phase));
            }
        }
    }

    /// Whether the engine is cold.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Requests per second that may be placed here, if limited.
    #[must_use]
    pub fn limit_per_second(&self) -> Option<f64> {
        self.limiter.as_ref().map(RequestLimiter::per_second)
    }

    /// Time until the limit allows another request, in milliseconds; 0 if it does now.
    #[must_use]
    pub fn limit_wait_ms(&self, now: f64) -> f64 {
        self.limiter
            .as_ref()
            .map_or(0.0, |limiter| limiter.wait_ms(now))
    }

    /// Whether the last request failed or the engine was slow, so that only one request at a time may be
    /// placed on it.
    #[must_use]
    pub fn needs_probe(&self, now: f64) -> bool {
        self.failures > 0 || self.slowdown.needs_probe(now)
    }

    /// Factor by which the engine is slower than comparable engines; 1 if unknown.
    #[must_use]
    pub fn slowdown(&self, now: f64) -> f64 {
        self.slowdown.factor(now)
    }

    /// Sets the start time of the process. What was measured for another process is dropped.
    pub(crate) fn set_started_at(&mut self, started_at: Option<u64>) {
        if self.started_at != started_at {
            self.started_at = started_at;
            self.slowdown = EngineSlowdown::default();
        }
    }

    /// The speed of the engine if it was slow when last measured.
    pub(crate) fn slow_engine(&self, now: f64) -> Option<SlowEngine> {
        let (factor, measured_at) = self.slowdown.last_slow()?;
        Some(SlowEngine {
            upstream: self.id.clone(),
            started_at: self.started_at,
            factor,
            age_ms: now - measured_at,
        })
    }

    /// Adopts the speed that another scheduler measured, unless it is of another process or older than what is known.
    pub(crate) fn learn_slowdown(&mut self, measured_at: f64, engine: &SlowEngine) {
        if engine.started_at == self.started_at && self.slowdown.learn(measured_at, engine.factor) {
            spdlog::info!("engine speed learned", kv: { engine: = self.id, factor = engine.factor });
        }
    }

    /// Shortest of the pauses that the callers on this engine tolerate.
    #[must_use]
    pub fn shortest_pause(&self) -> f64 {
        self.totals.shortest_pause
    }

    /// Tokens of memory in use.
    #[must_use]
    pub fn memory(&self) -> f64 {
        self.totals.memory
    }

    /// Whether the engine has prompts to prefill.
    #[must_use]
    pub fn is_prefilling(&self) -> bool {
        self.totals.prefill_pass_ms > 0.0
    }

    /// Whether a slot and memory for `tokens` more are free.
    #[must_use]
    pub fn has_room(&self, profile: &EngineProfile, tokens: f64) -> bool {
        self.len() < profile.slots as usize
            && self.memory() + tokens <= profile.memory_tokens * USABLE_MEMORY_SHARE
    }

    /// Estimates the effect of prefilling `share` of a prompt on this engine.
    #[must_use]
    pub fn estimate(
        &self,
        profile: &EngineProfile,
        now: f64,
        prompt: f64,
        share: f64,
    ) -> PlacementEstimate {
        let Totals {
            context,
            decoding,
            prefill_pass_ms,
            ..
        } = self.totals;
        let decode_pass_ms = profile.decode_pass_ms(decoding, context);
        let own_prefill_ms = profile.prefill_pass_ms(prompt, share);
        let slowdown = self.slowdown(now);
        let prefill_ms = slowdown * profile.prefill_ms(prompt) * share;
        let queue_ms = (self.prefill_until - now).max(0.0);
        let passes = (prompt * share / (profile.steps_per_pass * profile.chunk_tokens)).ceil();
        let interleaved_decode_ms = if decoding == 0 {
            0.0
        } else {
            decode_pass_ms * passes.max(1.0) * slowdown
        };
        let current_pass_ms = if decoding == 0 {
            0.0
        } else {
            decode_pass_ms * slowdown / 2.0
        };
        let first_decode_ms = profile.decode_pass_ms(1, prompt) * slowdown;
        let longest_pass_ms = (decode_pass_ms + own_prefill_ms + prefill_pass_ms) * slowdown;
        let delays_distributed =
            own_prefill_ms > DISTRIBUTED_MAX_PREFILL_MS && self.totals.distributed;
        let within_pauses = self.is_empty()
            || (!delays_distributed && longest_pass_ms * PAUSE_MARGIN <= self.shortest_pause());
        PlacementEstimate {
            first_event_ms: queue_ms
                + current_pass_ms
                + interleaved_decode_ms
                + prefill_ms
                + first_decode_ms,
            prefill_until: now + queue_ms + prefill_ms + interleaved_decode_ms,
            keeps_pauses: within_pauses,
            longest_pass_ms,
            slow: slowdown > 1.0,
        }
    }

    /// Places a request or a part of it.
    pub fn place(
        &mut self,
        profile: &EngineProfile,
        work: &Work,
        now: f64,
        estimate: &PlacementEstimate,
        spec: PartSpec,
    ) {
        let part = RequestPart {
            prompt: work.prompt,
            share: spec.share,
            prefill_pass_ms: profile.prefill_pass_ms(work.prompt, spec.share),
            memory: spec.memory,
            answer: work.answer,
            pause_ms: work.pause_ms,
            decodes: spec.decodes,
            distributed: spec.distributed,
            placed_at: now,
            prefill_until: estimate.prefill_until,
            expected_ms: estimate.first_event_ms,
            slowdown: self.slowdown(now),
            first_event_at: None,
            hold_ms: profile.shared_service_ms(work.prompt, work.answer) * self.slowdown(now),
        };
        if let Some(limiter) = &mut self.limiter {
            limiter.take(now);
        }
        self.prefill_until = self.prefill_until.max(estimate.prefill_until);
        self.parts.insert(work.id, part);
        self.update_totals();
    }

    /// Records the first event of a request that is decoded here. Returns the ratio of actual to expected
    /// time if the event is the first one and the whole prompt was prefilled here.
    pub fn note_first_event(&mut self, id: WorkId, now: f64) -> Option<f64> {
        let part = self.parts.get_mut(&id)?;
        let first = part.first_event_at.is_none();
        if first {
            part.first_event_at = Some(now);
        }
        let ratio = (now - part.placed_at) / part.expected_ms.max(1.0);
        let ratio = (first && part.share >= 1.0).then_some(ratio * part.slowdown);
        self.failures = 0;
        if let Some(ratio) = ratio {
            self.note_slowdown(now, ratio);
        }
        self.update_totals();
        self.correct_prefill_end(now);
        ratio
    }

    fn note_slowdown(&mut self, now: f64, ratio: f64) {
        let before = self.slowdown.was_slow();
        self.slowdown.note_ratio(now, ratio);
        let slow = self.slowdown.was_slow();
        if slow != before {
            spdlog::info!("engine speed changed", kv: { engine: = self.id, slow, ratio });
        }
    }

    /// Records that a request was already being decoded here when it was placed.
    pub fn note_started(&mut self, id: WorkId, now: f64) {
        if let Some(part) = self.parts.get_mut(&id) {
            part.first_event_at = Some(now);
        }
        self.update_totals();
        self.correct_prefill_end(now);
    }

    /// Removes a request; returns whether it was here.
    pub fn remove(&mut self, id: WorkId, now: f64) -> bool {
        let removed = self.parts.remove(&id).is_some();
        self.update_totals();
        self.correct_prefill_end(now);
        removed
    }

    /// Records that the engine failed a request.
    pub fn note_failure(&mut self, now: f64) {
        let exclusion_ms = EXCLUSION_MS * f64::from(1_u32 << self.failures.min(4));
        self.failures += 1;
        self.excluded_until = now + exclusion_ms.min(MAX_EXCLUSION_MS);
    }

    /// Records that the engine was full.
    pub fn note_shed(&mut self, now: f64) {
        self.excluded_until = self.excluded_until.max(now + SHED_EXCLUSION_MS);
    }

    /// Records that the engine completed a request.
    pub fn note_success(&mut self) {
        self.failures = 0;
    }

    /// Whether a prompt has waited far longer than expected for its first event.
    #[must_use]
    pub fn is_overdue(&self, now: f64) -> bool {
        now > self.totals.overdue_at
    }

    /// Expected time until the engine has no requests and its limit allows another one.
    #[must_use]
    pub fn busy_ms(&self, profile: &EngineProfile, now: f64) -> f64 {
        let prefill_left = (self.prefill_until - now).max(0.0);
        let decode_left = self.parts.values().filter(|part| part.decodes).map(|part| {
            let passes = (part.answer / profile.steps_per_pass).ceil();
            let decode_ms = passes * profile.decode_pass_ms(self.len(), self.memory());
            match part.first_event_at {
                Some(at) => (at + decode_ms - now).max(0.0),
                None => decode_ms,
            }
        });
        let busy_ms = prefill_left + decode_left.fold(0.0, f64::max);
        busy_ms.max(self.limit_wait_ms(now))
    }

    /// Time for which a request has held its slot, as a multiple of the expected time.
    pub(crate) fn hold_ratio(&self, id: WorkId, now: f64) -> Option<f64> {
        let part = self.parts.get(&id)?;
        Some((now - part.placed_at) / part.hold_ms.max(1.0))
    }

    /// Adds the slots that become free within `horizon_ms`, and those that are free if the prompts that are placed
    /// already are prefilled by then.
    pub(crate) fn add_freed_slots(
        &self,
        profile: &EngineProfile,
        hold_times: &HoldTimes,
        now: f64,
        horizon_ms: f64,
        freed: &mut FreedSlots,
    ) {
        if self.prefill_until - now <= horizon_ms {
            freed.add_free((profile.slots as usize).saturating_sub(self.len()) as f64);
        }
        for part in self.parts.values() {
            let hold_ms = part.hold_ms.max(1.0);
            let elapsed = (now - part.placed_at) / hold_ms;
            freed.add_slot(hold_times.freed_share(elapsed, horizon_ms / hold_ms));
        }
    }

    fn update_totals(&mut self) {
        self.totals = Totals::new(self.parts.values());
    }

    /// Reduces the expected end of all prefills to that of the prompts still pending.
    fn correct_prefill_end(&mut self, now: f64) {
        let pending = self
            .parts
            .values()
            .filter(|part| part.first_event_at.is_none());
        let latest = pending.map(|part| part.prefill_until).fold(now, f64::max);
        self.prefill_until = self.prefill_until.min(latest);
    }
}

//! [`EngineLoad`].

use std::collections::BTreeMap;

use crate::{
    DataCentreName, EngineProfile, UpstreamId, Work, WorkId, engine_slowdown::EngineSlowdown,
};

/// Factor on the expected length of a pass before it is compared with a caller's longest pause.
const PAUSE_MARGIN: f64 = 1.12;
/// Exclusion after the first failure in a row, in milliseconds; doubled with each further one.
const EXCLUSION_MS: f64 = 700.0;
/// Longest exclusion in milliseconds.
const MAX_EXCLUSION_MS: f64 = 6_000.0;
/// Exclusion of an engine that was full, in milliseconds.
const SHED_EXCLUSION_MS: f64 = 120.0;
/// Factor on the expected time to the first event after which a prompt counts as overdue.
const OVERDUE_FACTOR: f64 = 1.5;
/// Added to that, in milliseconds.
const OVERDUE_SLACK_MS: f64 = 300.0;
/// Reading in one pass beside an answer in which other engines take part: all of them wait for each pass, so
/// that the memory of several engines stays taken for longer.
const DISTRIBUTED_MAX_PREFILL_MS: f64 = 120.0;
/// Share of an engine's memory that is planned with.
const USABLE_MEMORY_SHARE: f64 = 0.97;

/// Part of a request that an engine carries.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPart {
    /// Tokens of the whole prompt.
    pub prompt: f64,
    /// Share of the prompt that this engine reads.
    pub share: f64,
    /// Most time that one pass spends on reading it, in milliseconds.
    pub prefill_pass_ms: f64,
    /// Tokens of memory in use here.
    pub memory: f64,
    /// Expected tokens of the answer.
    pub answer: f64,
    /// Longest pause between events that the caller expects, in milliseconds.
    pub pause_ms: f64,
    /// Whether the answer is written here.
    pub decodes: bool,
    /// Whether several engines take part in each step of the answer.
    pub distributed: bool,
    /// When it was placed.
    pub placed_at: f64,
    /// When its reading is expected to end.
    pub prefill_until: f64,
    /// Expected time to the first event.
    pub expected_ms: f64,
    /// Factor for a slow engine within that.
    pub slowdown: f64,
    /// When its first event came.
    pub first_event_at: Option<f64>,
}

/// What an engine does for a request that is placed on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartSpec {
    /// Share of the prompt that it reads.
    pub share: f64,
    /// Whether the answer is written there.
    pub decodes: bool,
    /// Whether several engines take part in each step of the answer.
    pub distributed: bool,
    /// Tokens of memory in use there.
    pub memory: f64,
}

/// Sums over the parts of an engine, so that looking for an engine does not visit each part.
#[derive(Clone, Copy, Debug)]
struct Totals {
    /// Tokens of memory in use.
    memory: f64,
    /// Tokens of memory of those that have had their first event.
    context: f64,
    /// Number of these.
    decoding: usize,
    /// Time that one pass spends on reading, in milliseconds.
    prefill_pass_ms: f64,
    /// Least of the longest pauses that callers expect.
    shortest_pause: f64,
    /// Whether other engines take part in an answer.
    distributed: bool,
    /// When the first of those without a first event is overdue.
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

/// What one engine is doing, as far as a scheduler knows. Times in milliseconds.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    id: UpstreamId,
    /// Data centre.
    pub data_centre: DataCentreName,
    parts: BTreeMap<WorkId, RequestPart>,
    totals: Totals,
    /// When the reading that is placed ends.
    prefill_until: f64,
    slowdown: EngineSlowdown,
    failures: u32,
    excluded_until: f64,
}

/// What placing a prompt on an engine would mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementEstimate {
    /// Expected time to the first event.
    pub first_event_ms: f64,
    /// When the reading would end.
    pub prefill_until: f64,
    /// Whether all pauses of the requests there stay as short as their callers expect.
    pub keeps_pauses: bool,
    /// Length of the longest pass while the prompt is read.
    pub longest_pass_ms: f64,
    /// Whether the engine is slower than its like.
    pub slow: bool,
}

impl EngineLoad {
    /// An engine without requests.
    #[must_use]
    pub fn new(id: UpstreamId, data_centre: DataCentreName) -> Self {
        Self {
            id,
            data_centre,
            parts: BTreeMap::new(),
            totals: Totals::new(std::iter::empty()),
            prefill_until: 0.0,
            slowdown: EngineSlowdown::default(),
            failures: 0,
            excluded_until: 0.0,
        }
    }

    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The requests.
    pub fn parts(&self) -> impl Iterator<Item = (&WorkId, &RequestPart)> {
        self.parts.iter()
    }

    /// Whether failures keep the engine from taking requests.
    #[must_use]
    pub fn is_excluded(&self, now: f64) -> bool {
        now < self.excluded_until
    }

    /// Whether the last request failed or the engine was slow, so that one at a time tries it.
    #[must_use]
    pub fn needs_probe(&self, now: f64) -> bool {
        self.failures > 0 || self.slowdown.needs_probe(now)
    }

    /// Factor by which the engine is slower than its like; 1 if that is not known.
    #[must_use]
    pub fn slowdown(&self, now: f64) -> f64 {
        self.slowdown.factor(now)
    }

    /// Least of the longest pauses that the callers here expect.
    #[must_use]
    pub fn shortest_pause(&self) -> f64 {
        self.totals.shortest_pause
    }

    /// Tokens of memory in use.
    #[must_use]
    pub fn memory(&self) -> f64 {
        self.totals.memory
    }

    /// Whether memory and slots allow another `tokens`.
    #[must_use]
    pub fn has_room(&self, profile: &EngineProfile, tokens: f64) -> bool {
        self.len() < profile.slots as usize
            && self.memory() + tokens <= profile.memory_tokens * USABLE_MEMORY_SHARE
    }

    /// What reading `share` of a prompt here would mean.
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

    /// Places a request, or a part of it.
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
        };
        self.prefill_until = self.prefill_until.max(estimate.prefill_until);
        self.parts.insert(work.id, part);
        self.update_totals();
    }

    /// Notes the first event of a request that writes here. Returns how much longer it took than expected, as
    /// a factor, if the event is the first one and the whole prompt was read here.
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

    /// Notes that a request wrote here already when it was placed.
    pub fn note_started(&mut self, id: WorkId, now: f64) {
        if let Some(part) = self.parts.get_mut(&id) {
            part.first_event_at = Some(now);
        }
        self.update_totals();
        self.correct_prefill_end(now);
    }

    /// Removes a request; `true` if it was here.
    pub fn remove(&mut self, id: WorkId, now: f64) -> bool {
        let removed = self.parts.remove(&id).is_some();
        self.update_totals();
        self.correct_prefill_end(now);
        removed
    }

    /// Notes that the engine failed a request.
    pub fn note_failure(&mut self, now: f64) {
        let exclusion_ms = EXCLUSION_MS * f64::from(1_u32 << self.failures.min(4));
        self.failures += 1;
        self.excluded_until = now + exclusion_ms.min(MAX_EXCLUSION_MS);
    }

    /// Notes that the engine was full.
    pub fn note_shed(&mut self, now: f64) {
        self.excluded_until = self.excluded_until.max(now + SHED_EXCLUSION_MS);
    }

    /// Notes that the engine served a request to its end.
    pub fn note_success(&mut self) {
        self.failures = 0;
    }

    /// Whether a prompt here has waited far longer than expected for its first event.
    #[must_use]
    pub fn is_overdue(&self, now: f64) -> bool {
        now > self.totals.overdue_at
    }

    /// Expected time until the engine has no requests.
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
        prefill_left + decode_left.fold(0.0, f64::max)
    }

    fn update_totals(&mut self) {
        self.totals = Totals::new(self.parts.values());
    }

    /// Corrects the end of reading from what is still unread.
    fn correct_prefill_end(&mut self, now: f64) {
        let pending = self
            .parts
            .values()
            .filter(|part| part.first_event_at.is_none());
        let latest = pending.map(|part| part.prefill_until).fold(now, f64::max);
        self.prefill_until = self.prefill_until.min(latest);
    }
}

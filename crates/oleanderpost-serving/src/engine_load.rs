//! [`EngineLoad`].

use std::collections::BTreeMap;

use crate::{
    DataCentreName, EngineProfile, UpstreamId, Work, WorkId, engine_slowdown::EngineSlowdown,
};

/// Factor on the expected length of a pass before it is compared with a caller's longest pause.
const PAUSE_MARGIN: f64 = 1.12;
/// Exclusion after the first failure in a row, in milliseconds; doubled with each further one.
const PENALTY_MS: f64 = 700.0;
/// Longest exclusion in milliseconds.
const PENALTY_MAX_MS: f64 = 6_000.0;
/// Exclusion of an engine that was full, in milliseconds.
const SHED_PENALTY_MS: f64 = 120.0;
/// Factor on the expected time to the first event after which a prompt counts as overdue.
const OVERDUE_FACTOR: f64 = 1.5;
/// Added to that, in milliseconds.
const OVERDUE_SLACK_MS: f64 = 300.0;
/// Reading in one pass beside an answer in which other engines take part: all of them wait for each pass, so
/// that the memory of several engines stays taken for longer.
const JOINT_PASS_MS: f64 = 120.0;
/// Share of an engine's memory that is planned with.
const MEMORY_SHARE: f64 = 0.97;

/// Part of a request that an engine carries.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestPart {
    /// Tokens of the whole prompt.
    pub prompt: f64,
    /// Share of the prompt that this engine reads.
    pub share: f64,
    /// Most time that one pass spends on reading it, in milliseconds.
    pub pass_ms: f64,
    /// Tokens of memory in use here.
    pub memory: f64,
    /// Expected tokens of the answer.
    pub answer: f64,
    /// Longest pause between events that the caller expects, in milliseconds.
    pub pause_ms: f64,
    /// Whether the answer is written here.
    pub decodes: bool,
    /// Whether several engines take part in each step of the answer.
    pub joint: bool,
    /// When it was placed.
    pub placed_at: f64,
    /// When its reading is expected to end.
    pub read_until: f64,
    /// Expected time to the first event.
    pub expected_ms: f64,
    /// Factor for a slow engine within that.
    pub slowness: f64,
    /// When its first event came.
    pub first_at: Option<f64>,
}

/// What an engine does for a request that is placed on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartSpec {
    /// Share of the prompt that it reads.
    pub share: f64,
    /// Whether the answer is written there.
    pub decodes: bool,
    /// Whether several engines take part in each step of the answer.
    pub joint: bool,
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
    writers: usize,
    /// Time that one pass spends on reading, in milliseconds.
    pending_ms: f64,
    /// Least of the longest pauses that callers expect.
    shortest_pause: f64,
    /// Whether other engines take part in an answer.
    joint: bool,
    /// When the first of those without a first event is overdue.
    overdue_at: f64,
}

impl Totals {
    fn new<'a>(parts: impl Iterator<Item = &'a RequestPart>) -> Self {
        let mut totals = Self {
            memory: 0.0,
            context: 0.0,
            writers: 0,
            pending_ms: 0.0,
            shortest_pause: f64::INFINITY,
            joint: false,
            overdue_at: f64::INFINITY,
        };
        for part in parts {
            totals.add(part);
        }
        totals
    }

    fn add(&mut self, part: &RequestPart) {
        self.memory += part.memory;
        self.joint |= part.joint;
        if part.decodes {
            self.shortest_pause = self.shortest_pause.min(part.pause_ms);
        }
        if part.first_at.is_some() {
            self.context += part.memory;
            self.writers += 1;
        } else {
            let expected = part.read_until - part.placed_at;
            let overdue_at = part.placed_at + expected * OVERDUE_FACTOR + OVERDUE_SLACK_MS;
            self.pending_ms += part.pass_ms;
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
    read_until: f64,
    pace: EngineSlowdown,
    failures: u32,
    excluded_until: f64,
}

/// What placing a prompt on an engine would mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementEstimate {
    /// Expected time to the first event.
    pub first_event_ms: f64,
    /// When the reading would end.
    pub read_until: f64,
    /// Whether all pauses of the requests there stay as short as their callers expect.
    pub keeps_pauses: bool,
    /// Length of the longest pass while the prompt is read.
    pub pass_ms: f64,
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
            read_until: 0.0,
            pace: EngineSlowdown::default(),
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
    pub fn is_on_trial(&self, now: f64) -> bool {
        self.failures > 0 || self.pace.is_on_trial(now)
    }

    /// Factor by which the engine is slower than its like; 1 if that is not known.
    #[must_use]
    pub fn slowness(&self, now: f64) -> f64 {
        self.pace.factor(now)
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
            && self.memory() + tokens <= profile.memory_tokens * MEMORY_SHARE
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
            writers,
            pending_ms,
            ..
        } = self.totals;
        let write_pass = profile.decode_pass_ms(writers, context);
        let own_pass = profile.prefill_pass_ms(prompt, share);
        let slowness = self.slowness(now);
        let read_all = slowness * profile.prefill_ms(prompt) * share;
        let waits = (self.read_until - now).max(0.0);
        let passes = (prompt * share / (profile.steps_per_pass * profile.chunk_tokens)).ceil();
        let between = if writers == 0 {
            0.0
        } else {
            write_pass * passes.max(1.0) * slowness
        };
        let residual = if writers == 0 {
            0.0
        } else {
            write_pass * slowness / 2.0
        };
        let write_first = profile.decode_pass_ms(1, prompt) * slowness;
        let pass_ms = (write_pass + own_pass + pending_ms) * slowness;
        let delays_joint = own_pass > JOINT_PASS_MS && self.totals.joint;
        let keeps =
            self.is_empty() || (!delays_joint && pass_ms * PAUSE_MARGIN <= self.shortest_pause());
        PlacementEstimate {
            first_event_ms: waits + residual + between + read_all + write_first,
            read_until: now + waits + read_all + between,
            keeps_pauses: keeps,
            pass_ms,
            slow: slowness > 1.0,
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
            pass_ms: profile.prefill_pass_ms(work.prompt, spec.share),
            memory: spec.memory,
            answer: work.answer,
            pause_ms: work.pause_ms,
            decodes: spec.decodes,
            joint: spec.joint,
            placed_at: now,
            read_until: estimate.read_until,
            expected_ms: estimate.first_event_ms,
            slowness: self.slowness(now),
            first_at: None,
        };
        self.read_until = self.read_until.max(estimate.read_until);
        self.parts.insert(work.id, part);
        self.sum_up();
    }

    /// Notes the first event of a request that writes here. Returns how much longer it took than expected, as
    /// a factor, if the event is the first one and the whole prompt was read here.
    pub fn note_first_event(&mut self, id: WorkId, now: f64) -> Option<f64> {
        let part = self.parts.get_mut(&id)?;
        let first = part.first_at.is_none();
        if first {
            part.first_at = Some(now);
        }
        let ratio = (now - part.placed_at) / part.expected_ms.max(1.0);
        let ratio = (first && part.share >= 1.0).then_some(ratio * part.slowness);
        self.failures = 0;
        if let Some(ratio) = ratio {
            self.note_pace(now, ratio);
        }
        self.sum_up();
        self.settle_reading(now);
        ratio
    }

    fn note_pace(&mut self, now: f64, ratio: f64) {
        let before = self.pace.was_slow();
        self.pace.note(now, ratio);
        let slow = self.pace.was_slow();
        if slow != before {
            spdlog::info!("speed of an engine changed", kv: { engine: = self.id, slow, ratio });
        }
    }

    /// Notes that a request wrote here already when it was placed.
    pub fn note_started(&mut self, id: WorkId, now: f64) {
        if let Some(part) = self.parts.get_mut(&id) {
            part.first_at = Some(now);
        }
        self.sum_up();
        self.settle_reading(now);
    }

    /// Removes a request; `true` if it was here.
    pub fn remove(&mut self, id: WorkId, now: f64) -> bool {
        let was = self.parts.remove(&id).is_some();
        self.sum_up();
        self.settle_reading(now);
        was
    }

    /// Notes that the engine failed a request.
    pub fn note_failure(&mut self, now: f64) {
        let span = PENALTY_MS * f64::from(1_u32 << self.failures.min(4));
        self.failures += 1;
        self.excluded_until = now + span.min(PENALTY_MAX_MS);
    }

    /// Notes that the engine was full.
    pub fn note_shed(&mut self, now: f64) {
        self.excluded_until = self.excluded_until.max(now + SHED_PENALTY_MS);
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
        let reading = (self.read_until - now).max(0.0);
        let writing = self.parts.values().filter(|part| part.decodes).map(|part| {
            let passes = (part.answer / profile.steps_per_pass).ceil();
            let span = passes * profile.decode_pass_ms(self.len(), self.memory());
            match part.first_at {
                Some(at) => (at + span - now).max(0.0),
                None => span,
            }
        });
        reading + writing.fold(0.0, f64::max)
    }

    fn sum_up(&mut self) {
        self.totals = Totals::new(self.parts.values());
    }

    /// Corrects the end of reading from what is still unread.
    fn settle_reading(&mut self, now: f64) {
        let unread = self.parts.values().filter(|part| part.first_at.is_none());
        let until = unread.map(|part| part.read_until).fold(now, f64::max);
        self.read_until = self.read_until.min(until);
    }
}

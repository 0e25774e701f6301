//! [`Planner`].

use std::{cmp::Ordering, collections::BTreeMap};

use crate::{
    DataCentreName, EngineLoad, EngineProfile, Grant, UpstreamId, Work, candidate::Candidate,
    fleet_slowdown::FleetSlowdown, light_demand::LightDemand,
};

/// Share of the time left to the objective that a plan may use.
const ON_TIME_SHARE: f64 = 0.92;
/// Time for which the shortest pause that callers expect is remembered without such a caller.
const PAUSE_MEMORY_MS: f64 = 5_000.0;
/// Factor on a pass that must stay below the shortest pause for a prompt to count as light.
const LIGHT_MARGIN: f64 = 1.12;
/// Slots that heavy prompts leave to light ones, as a multiple of the light ones expected in progress.
const LIGHT_RESERVE_FACTOR: f64 = 1.2;
/// Slots that heavy prompts leave to light ones besides.
const LIGHT_RESERVE_MIN: f64 = 4.0;
/// Factor on the time to the first event by which a larger group must be sooner to be preferred.
const SPLIT_GAIN: f64 = 0.85;
/// Most engines that read one prompt.
const MAX_GROUP: usize = 8;

/// What a plan takes care of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Care {
    /// That all callers keep the pauses that they expect.
    Pauses,
    /// Nothing but that the request is served.
    None,
}

/// Why a request can't be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanError {
    /// Engines could take it, but none soon enough.
    NotInTime,
    /// No engine can take it, however late, and so none that is longer.
    NoCapacity,
}

/// Finds engines for requests, from what is in progress on each.
///
/// Times are milliseconds on the scheduler's clock.
#[derive(Debug)]
pub(crate) struct Planner {
    /// Speed and size as the operator states them.
    stated: EngineProfile,
    /// The same with the speed at which the engines really work.
    pub(crate) profile: EngineProfile,
    pace: FleetSlowdown,
    pub(crate) engines: BTreeMap<UpstreamId, EngineLoad>,
    /// Shortest pause that callers expect, and when such a caller was last seen.
    light_pause: (f64, f64),
    light_demand: LightDemand,
}

impl Planner {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            stated: profile.clone(),
            profile,
            pace: FleetSlowdown::new(),
            engines: BTreeMap::new(),
            light_pause: (f64::INFINITY, 0.0),
            light_demand: LightDemand::default(),
        }
    }

    /// Replaces the stated speed and size.
    pub(crate) fn set_profile(&mut self, stated: EngineProfile) {
        self.profile = stated.slowed(self.pace.factor());
        self.stated = stated;
    }

    /// Notes a first event that took `ratio` times as long as expected of the fleet.
    pub(crate) fn note_pace(&mut self, now: f64, ratio: f64) {
        let before = self.pace.factor();
        self.pace.note(now, ratio * before);
        let factor = self.pace.factor();
        if factor != before {
            if before == 1.0 || factor == 1.0 {
                spdlog::info!("speed of the engines against the stated one changed", kv: { factor });
            }
            self.profile = self.stated.slowed(factor);
        }
    }

    /// Replaces the set of engines; what is known of those that stay is kept.
    pub(crate) fn set_engines(
        &mut self,
        usable: impl IntoIterator<Item = (UpstreamId, DataCentreName)>,
    ) {
        let mut old = std::mem::take(&mut self.engines);
        for (id, data_centre) in usable {
            let load = old.remove(&id);
            let load = load.unwrap_or_else(|| EngineLoad::new(id.clone(), data_centre));
            self.engines.insert(id, load);
        }
    }

    /// Notes the arrival of a request.
    pub(crate) fn note_arrival(&mut self, now: f64, work: &Work) {
        self.note_pause(now, work.pause_ms);
        if !self.is_heavy(work) {
            self.light_demand.note(now, self.light_service_ms(work));
        }
    }

    /// Finds an engine, or several, that serve the request without disturbing others.
    ///
    /// # Errors
    ///
    /// [`PlanError`] if there is none now.
    pub(crate) fn plan(&self, now: f64, work: &Work) -> Result<Grant, PlanError> {
        let least = self.least_group(work);
        if least > 1 {
            let spares_light = self.spares_light(now);
            self.plan_group(now, work, least, spares_light)
                .ok_or(PlanError::NotInTime)
        } else {
            self.plan_single(now, work)
        }
    }

    /// Time that a request takes alone on an engine, or on as many as it needs.
    pub(crate) fn service_ms(&self, work: &Work) -> f64 {
        let group = self.least_group(work) as f64;
        let passes = (work.answer / self.profile.steps_per_pass).ceil();
        self.profile.prefill_ms(work.prompt) / group
            + passes * self.profile.decode_pass_ms(1, work.prompt)
    }

    /// Time that a light request takes on an engine with as many of its like as have room.
    fn light_service_ms(&self, work: &Work) -> f64 {
        let passes = (work.answer / self.profile.steps_per_pass).ceil();
        let writers = self.profile.slots as usize;
        let context = writers as f64 * (work.prompt + work.answer / 2.0);
        let pass =
            self.profile.decode_pass_ms(writers, context) + self.profile.prefill_ms(work.prompt);
        passes * pass
    }

    /// Whether the prompt disturbs the callers with the shortest pauses.
    pub(crate) fn is_heavy(&self, work: &Work) -> bool {
        let pass =
            self.profile.prefill_pass_ms(work.prompt, 1.0) + self.profile.decode_pass_ms(1, 0.0);
        pass * LIGHT_MARGIN > self.light_pause.0
    }

    /// The best engine for a request that one engine's memory holds, or several that read it together.
    fn plan_single(&self, now: f64, work: &Work) -> Result<Grant, PlanError> {
        let on_time = work.objective_ms * ON_TIME_SHARE;
        let heavy = self.is_heavy(work);
        let spares_light = !heavy || self.spares_light(now);
        let mut candidates = self.candidates(now, work);
        candidates.retain(|c| spares_light || !c.load.is_empty());
        let timely = |c: &&Candidate<'_>| c.estimate.first_event_ms <= on_time;
        let best = candidates
            .iter()
            .filter(timely)
            .max_by(|a, b| a.compare(b, work));
        if let Some(best) = best {
            return Ok(best.grant());
        }
        if heavy && let Some(grant) = self.plan_group(now, work, 2, spares_light) {
            return Ok(grant);
        }
        if candidates.is_empty() && self.spare_engines(now, work, spares_light) < 2 {
            return Err(PlanError::NoCapacity);
        }
        let can_be_on_time = self.profile.prefill_ms(work.prompt) <= on_time;
        if can_be_on_time {
            return Err(PlanError::NotInTime);
        }
        let whole = |c: &&Candidate<'_>| c.estimate.first_event_ms <= work.deadline_ms;
        let soonest = candidates.iter().filter(whole).min_by(|a, b| {
            a.estimate
                .first_event_ms
                .total_cmp(&b.estimate.first_event_ms)
        });
        soonest.map(Candidate::grant).ok_or(PlanError::NotInTime)
    }

    /// Number of idle engines that a group may take: one is left to light prompts if they have too little
    /// room.
    fn spare_engines(&self, now: f64, work: &Work, spares_light: bool) -> usize {
        let idle = self.usable(now, work).filter(|(_, load)| load.is_empty());
        idle.count().saturating_sub(usize::from(!spares_light))
    }

    /// Least number of engines whose memory holds the request.
    fn least_group(&self, work: &Work) -> usize {
        let tokens = work.prompt + work.answer_limit;
        let usable = self.profile.memory_tokens * 0.95;
        (tokens / usable.max(1.0)).ceil().max(1.0) as usize
    }

    fn note_pause(&mut self, now: f64, pause_ms: f64) {
        let (least, seen) = self.light_pause;
        if pause_ms <= least || now - seen > PAUSE_MEMORY_MS {
            self.light_pause = (pause_ms, now);
        }
    }

    /// The engine, or the smallest group, with the fewest callers to disturb.
    pub(crate) fn plan_despite_pauses(&self, now: f64, work: &Work) -> Option<Grant> {
        let least = self.least_group(work);
        let in_time = |grant: &Grant| grant.first_event_ms <= work.deadline_ms;
        if least > 1 {
            let most = self.engines.len().min(MAX_GROUP);
            let mut plans = (least..=most)
                .filter_map(|size| self.plan_of_size(now, work, size, Care::None, true));
            return plans.find(in_time);
        }
        let memory = work.prompt + work.answer_limit;
        let able = self
            .usable(now, work)
            .filter(|(_, load)| load.has_room(&self.profile, memory));
        let candidates = able.map(|(id, load)| {
            let estimate = load.estimate(&self.profile, now, work.prompt, 1.0);
            Candidate { id, load, estimate }
        });
        let grants = candidates.filter(|c| c.estimate.first_event_ms <= work.deadline_ms);
        let least_harm = grants.min_by_key(|c| (c.disturbed(), c.id.clone()));
        least_harm.map(|c| c.grant())
    }

    /// Splits the reading over several engines: as few as keep the objective, `least` or more.
    ///
    /// Only idle engines take part: an engine reads such parts ahead of all else, so that requests which wait
    /// there would be late. Only the engine that writes needs memory for the prompt, unless no engine has
    /// enough.
    fn plan_group(&self, now: f64, work: &Work, least: usize, spares_light: bool) -> Option<Grant> {
        let on_time = work.objective_ms * ON_TIME_SHARE;
        let most = self.engines.len().min(MAX_GROUP);
        let spare = self.spare_engines(now, work, spares_light);
        let plans = (least..=most.min(spare))
            .filter_map(|size| self.plan_of_size(now, work, size, Care::Pauses, spares_light));
        let hopeless = self.profile.prefill_ms(work.prompt) / most.max(1) as f64 > on_time;
        let mut best: Option<Grant> = None;
        for plan in plans {
            if plan.first_event_ms <= on_time {
                return Some(plan);
            }
            let sooner = best
                .as_ref()
                .is_none_or(|best| plan.first_event_ms < best.first_event_ms * SPLIT_GAIN);
            if hopeless && sooner {
                best = Some(plan);
            }
        }
        best
    }

    /// The best group of exactly `size` engines.
    fn plan_of_size(
        &self,
        now: f64,
        work: &Work,
        size: usize,
        care: Care,
        spares_light: bool,
    ) -> Option<Grant> {
        let share = 1.0 / size as f64;
        let reserves = self.least_group(work) > 1;
        let whole = work.prompt + work.answer_limit;
        let part_memory = if reserves { whole * share } else { 0.0 };
        let first_memory = if reserves { part_memory } else { whole };
        let careless = care == Care::None;
        let with_room = self
            .usable(now, work)
            .filter(|(_, load)| load.has_room(&self.profile, part_memory))
            .filter(|(_, load)| careless || load.is_empty());
        let mut able: Vec<_> = with_room
            .map(|(id, load)| {
                let estimate = load.estimate(&self.profile, now, work.prompt, share);
                Candidate { id, load, estimate }
            })
            .filter(|candidate| careless || candidate.estimate.keeps_pauses)
            .collect();
        able.sort_by(|a, b| {
            let key = |c: &Candidate<'_>| (c.disturbed(), c.estimate.read_until, c.load.memory());
            let order = key(a).partial_cmp(&key(b));
            order
                .unwrap_or(Ordering::Equal)
                .then_with(|| a.id.cmp(b.id))
        });
        if !careless && !spares_light {
            able.pop();
        }
        let has_memory = |c: &Candidate<'_>| c.load.has_room(&self.profile, first_memory);
        let first = able.iter().position(has_memory)?;
        let first = able.remove(first);
        let helpers = able.get(..size - 1)?;
        let ends = helpers.iter().map(|helper| helper.estimate.read_until);
        let read_until = ends.fold(first.estimate.read_until, f64::max);
        let context = first.load.memory() + work.prompt;
        let write = self.profile.decode_pass_ms(first.load.len() + 1, context);
        Some(Grant {
            engine: first.id.clone(),
            helpers: helpers.iter().map(|helper| helper.id.clone()).collect(),
            reserve_tokens: reserves.then(|| part_memory.ceil()),
            first_event_ms: read_until - now + write,
        })
    }

    fn candidates<'a>(&'a self, now: f64, work: &'a Work) -> Vec<Candidate<'a>> {
        let memory = work.prompt + work.answer_limit;
        let with_room = self
            .usable(now, work)
            .filter(|(_, load)| load.has_room(&self.profile, memory));
        let all = with_room.map(|(id, load)| {
            let estimate = load.estimate(&self.profile, now, work.prompt, 1.0);
            Candidate { id, load, estimate }
        });
        all.filter(|candidate| candidate.estimate.keeps_pauses)
            .collect()
    }

    fn usable<'a>(
        &'a self,
        now: f64,
        work: &'a Work,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a EngineLoad)> {
        self.engines.iter().filter(move |(id, load)| {
            let trial = load.is_on_trial(now) && !load.is_empty();
            let slowness = load.slowness(now);
            let too_slow = slowness > 1.0
                && self.profile.decode_pass_ms(1, work.prompt) * slowness > work.pause_ms;
            !load.is_excluded(now)
                && !trial
                && !too_slow
                && !load.is_overdue(now)
                && !work.excluded.contains(id)
        })
    }

    /// Whether light prompts keep room if a heavy one takes another idle engine.
    fn spares_light(&self, now: f64) -> bool {
        let pause = self.light_pause.0;
        if !self.light_demand.is_recent(now, PAUSE_MEMORY_MS) {
            return true;
        }
        let slots = f64::from(self.profile.slots);
        let mut used = 0.0;
        let mut room = -slots;
        for load in self.engines.values().filter(|load| !load.is_excluded(now)) {
            if load.is_empty() {
                room += slots;
            } else if load.shortest_pause() <= pause * 1.01 {
                room += slots;
                used += load.len() as f64;
            }
        }
        let expected = self.light_demand.forecast(now).max(used);
        room >= LIGHT_RESERVE_MIN + expected * LIGHT_RESERVE_FACTOR
    }
}

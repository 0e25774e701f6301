//! [`Planner`].

use std::{cmp::Ordering, collections::BTreeMap};

use crate::{
    DataCentreName, EngineLoad, EngineProfile, Grant, UpstreamId, Work, candidate::Candidate,
    fleet_slowdown::FleetSlowdown, light_demand::LightDemand,
};

/// Share of the remaining time to the objective that a plan may use.
const ON_TIME_SHARE: f64 = 0.92;
/// Time after which the shortest tolerated pause expires if no caller with such a pause arrives.
const SHORTEST_PAUSE_TTL_MS: f64 = 5_000.0;
/// Safety factor on the pass time of a prompt, which must stay below the shortest tolerated pause for the
/// request to count as light.
const LIGHT_MARGIN: f64 = 1.12;
/// Slots that heavy requests leave free for light ones, as a multiple of the expected number of light
/// requests in progress.
const LIGHT_RESERVE_FACTOR: f64 = 1.2;
/// Slots that heavy requests leave free for light ones in addition to that multiple.
const LIGHT_RESERVE_MIN: f64 = 4.0;
/// A larger group is preferred only if its time to the first event is below that of the best smaller group
/// multiplied by this factor.
const SPLIT_TIME_FACTOR: f64 = 0.85;
/// Maximum number of engines that share the prefill of one prompt.
const MAX_GROUP_SIZE: usize = 8;

/// Whether a plan has to respect the pauses that callers tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PauseLimits {
    /// No caller sees longer pauses than it tolerates.
    Enforced,
    /// Pauses are ignored; the request only has to be served.
    Ignored,
}

/// Why a request can't be placed at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanError {
    /// Some engines have capacity, but none would be fast enough.
    NotInTime,
    /// No engine has capacity, regardless of time. The same holds for any request that needs more.
    NoCapacity,
}

/// Finds engines for requests based on the load of each engine.
///
/// All times are milliseconds on the scheduler's clock.
#[derive(Debug)]
pub(crate) struct Planner {
    /// Speed and size as configured by the operator.
    configured_profile: EngineProfile,
    /// The configured profile adjusted to the measured speed of the engines.
    pub(crate) profile: EngineProfile,
    slowdown: FleetSlowdown,
    pub(crate) engines: BTreeMap<UpstreamId, EngineLoad>,
    /// Shortest pause that callers tolerate, and the time at which such a caller last arrived.
    shortest_pause: (f64, f64),
    light_demand: LightDemand,
}

impl Planner {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            configured_profile: profile.clone(),
            profile,
            slowdown: FleetSlowdown::new(),
            engines: BTreeMap::new(),
            shortest_pause: (f64::INFINITY, 0.0),
            light_demand: LightDemand::default(),
        }
    }

    /// Replaces the configured speed and size.
    pub(crate) fn set_profile(&mut self, configured_profile: EngineProfile) {
        self.profile = configured_profile.slowed(self.slowdown.factor());
        self.configured_profile = configured_profile;
    }

    /// Records a first event that took `ratio` times the expected time, and adjusts the profile.
    pub(crate) fn note_slowdown(&mut self, now: f64, ratio: f64) {
        let before = self.slowdown.factor();
        self.slowdown.note_ratio(now, ratio * before);
        let factor = self.slowdown.factor();
        if factor != before {
            if before == 1.0 || factor == 1.0 {
                spdlog::info!("speed of the engines relative to the configuration changed", kv: { factor });
            }
            self.profile = self.configured_profile.slowed(factor);
        }
    }

    /// Replaces the set of engines. The state of engines that remain is kept.
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

    /// Records the arrival of a request.
    pub(crate) fn note_arrival(&mut self, now: f64, work: &Work) {
        self.note_pause(now, work.pause_ms);
        if !self.is_heavy(work) {
            self.light_demand
                .note_arrival(now, self.light_service_ms(work));
        }
    }

    /// Finds one or more engines that can serve the request without exceeding the pauses that other callers
    /// tolerate.
    ///
    /// # Errors
    ///
    /// [`PlanError`] if there are none at present.
    pub(crate) fn plan(&self, now: f64, work: &Work) -> Result<Grant, PlanError> {
        let min_size = self.min_group_size(work);
        if min_size > 1 {
            let keeps_light_reserve = self.keeps_light_reserve(now);
            self.plan_group(now, work, min_size, keeps_light_reserve)
                .ok_or(PlanError::NotInTime)
        } else {
            self.plan_single(now, work)
        }
    }

    /// Service time of a request on an otherwise idle engine, or on the minimum number of engines that can
    /// hold it.
    pub(crate) fn service_ms(&self, work: &Work) -> f64 {
        let group_size = self.min_group_size(work) as f64;
        let passes = (work.answer / self.profile.steps_per_pass).ceil();
        self.profile.prefill_ms(work.prompt) / group_size
            + passes * self.profile.decode_pass_ms(1, work.prompt)
    }

    /// Service time of a light request on an engine whose slots are all taken by similar requests.
    fn light_service_ms(&self, work: &Work) -> f64 {
        let passes = (work.answer / self.profile.steps_per_pass).ceil();
        let decoding = self.profile.slots as usize;
        let context = decoding as f64 * (work.prompt + work.answer / 2.0);
        let pass_ms =
            self.profile.decode_pass_ms(decoding, context) + self.profile.prefill_ms(work.prompt);
        passes * pass_ms
    }

    /// Whether the prefill of the prompt would exceed the shortest pause that callers tolerate.
    pub(crate) fn is_heavy(&self, work: &Work) -> bool {
        let pass_ms =
            self.profile.prefill_pass_ms(work.prompt, 1.0) + self.profile.decode_pass_ms(1, 0.0);
        pass_ms * LIGHT_MARGIN > self.shortest_pause.0
    }

    /// Selects the best engine for a request that fits into one engine's memory, or a group that shares the
    /// prefill.
    fn plan_single(&self, now: f64, work: &Work) -> Result<Grant, PlanError> {
        let on_time = work.objective_ms * ON_TIME_SHARE;
        let heavy = self.is_heavy(work);
        let keeps_light_reserve = !heavy || self.keeps_light_reserve(now);
        let mut candidates = self.candidates(now, work);
        candidates.retain(|c| keeps_light_reserve || !c.load.is_empty());
        let is_on_time = |c: &&Candidate<'_>| c.estimate.first_event_ms <= on_time;
        let best = candidates
            .iter()
            .filter(is_on_time)
            .max_by(|a, b| a.compare(b, work));
        if let Some(best) = best {
            return Ok(best.grant());
        }
        if heavy && let Some(grant) = self.plan_group(now, work, 2, keeps_light_reserve) {
            return Ok(grant);
        }
        if candidates.is_empty() && self.free_engines(now, work, keeps_light_reserve) < 2 {
            return Err(PlanError::NoCapacity);
        }
        let can_be_on_time = self.profile.prefill_ms(work.prompt) <= on_time;
        if can_be_on_time {
            return Err(PlanError::NotInTime);
        }
        let before_deadline = |c: &&Candidate<'_>| c.estimate.first_event_ms <= work.deadline_ms;
        let soonest = candidates.iter().filter(before_deadline).min_by(|a, b| {
            a.estimate
                .first_event_ms
                .total_cmp(&b.estimate.first_event_ms)
        });
        soonest.map(Candidate::grant).ok_or(PlanError::NotInTime)
    }

    /// Number of idle engines that a group may use. One is left for light requests if they would otherwise
    /// have too little capacity.
    fn free_engines(&self, now: f64, work: &Work, keeps_light_reserve: bool) -> usize {
        let idle = self
            .usable_engines(now, work)
            .filter(|(_, load)| load.is_empty());
        idle.count()
            .saturating_sub(usize::from(!keeps_light_reserve))
    }

    /// Minimum number of engines whose combined memory holds the request.
    fn min_group_size(&self, work: &Work) -> usize {
        let tokens = work.prompt + work.answer_limit;
        let usable_memory = self.profile.memory_tokens * 0.95;
        (tokens / usable_memory.max(1.0)).ceil().max(1.0) as usize
    }

    fn note_pause(&mut self, now: f64, pause_ms: f64) {
        let (shortest, last_seen) = self.shortest_pause;
        if pause_ms <= shortest || now - last_seen > SHORTEST_PAUSE_TTL_MS {
            self.shortest_pause = (pause_ms, now);
        }
    }

    /// Selects the engine, or the smallest group, where the fewest callers see longer pauses than they
    /// tolerate.
    pub(crate) fn plan_ignoring_pauses(&self, now: f64, work: &Work) -> Option<Grant> {
        let min_size = self.min_group_size(work);
        let before_deadline = |grant: &Grant| grant.first_event_ms <= work.deadline_ms;
        if min_size > 1 {
            let max_size = self.engines.len().min(MAX_GROUP_SIZE);
            let mut plans = (min_size..=max_size)
                .filter_map(|size| self.plan_of_size(now, work, size, PauseLimits::Ignored, true));
            return plans.find(before_deadline);
        }
        let memory = work.prompt + work.answer_limit;
        let with_room = self
            .usable_engines(now, work)
            .filter(|(_, load)| load.has_room(&self.profile, memory));
        let candidates = with_room.map(|(id, load)| {
            let estimate = load.estimate(&self.profile, now, work.prompt, 1.0);
            Candidate { id, load, estimate }
        });
        let grants = candidates.filter(|c| c.estimate.first_event_ms <= work.deadline_ms);
        let least_disturbing = grants.min_by_key(|c| (c.disturbed_requests(), c.id.clone()));
        least_disturbing.map(|c| c.grant())
    }

    /// Splits the prefill over several engines: at least `min_size`, and as few as meet the objective.
    ///
    /// Only idle engines are used. An engine runs such parts ahead of all other work, so requests waiting
    /// there would be late. Only the engine that decodes needs memory for the prompt, unless no single
    /// engine has enough.
    fn plan_group(
        &self,
        now: f64,
        work: &Work,
        min_size: usize,
        keeps_light_reserve: bool,
    ) -> Option<Grant> {
        let on_time = work.objective_ms * ON_TIME_SHARE;
        let max_size = self.engines.len().min(MAX_GROUP_SIZE);
        let free = self.free_engines(now, work, keeps_light_reserve);
        let plans = (min_size..=max_size.min(free)).filter_map(|size| {
            self.plan_of_size(now, work, size, PauseLimits::Enforced, keeps_light_reserve)
        });
        let objective_unreachable =
            self.profile.prefill_ms(work.prompt) / max_size.max(1) as f64 > on_time;
        let mut best: Option<Grant> = None;
        for plan in plans {
            if plan.first_event_ms <= on_time {
                return Some(plan);
            }
            let clearly_sooner = best
                .as_ref()
                .is_none_or(|best| plan.first_event_ms < best.first_event_ms * SPLIT_TIME_FACTOR);
            if objective_unreachable && clearly_sooner {
                best = Some(plan);
            }
        }
        best
    }

    /// Selects the best group of exactly `size` engines.
    fn plan_of_size(
        &self,
        now: f64,
        work: &Work,
        size: usize,
        pause_limits: PauseLimits,
        keeps_light_reserve: bool,
    ) -> Option<Grant> {
        let share = 1.0 / size as f64;
        let reserves_memory = self.min_group_size(work) > 1;
        let total_memory = work.prompt + work.answer_limit;
        let part_memory = if reserves_memory {
            total_memory * share
        } else {
            0.0
        };
        let primary_memory = if reserves_memory {
            part_memory
        } else {
            total_memory
        };
        let ignore_pauses = pause_limits == PauseLimits::Ignored;
        let with_room = self
            .usable_engines(now, work)
            .filter(|(_, load)| load.has_room(&self.profile, part_memory))
            .filter(|(_, load)| ignore_pauses || load.is_empty());
        let mut candidates: Vec<_> = with_room
            .map(|(id, load)| {
                let estimate = load.estimate(&self.profile, now, work.prompt, share);
                Candidate { id, load, estimate }
            })
            .filter(|candidate| ignore_pauses || candidate.estimate.keeps_pauses)
            .collect();
        candidates.sort_by(|a, b| {
            let key = |c: &Candidate<'_>| {
                (
                    c.disturbed_requests(),
                    c.estimate.prefill_until,
                    c.load.memory(),
                )
            };
            let order = key(a).partial_cmp(&key(b));
            order
                .unwrap_or(Ordering::Equal)
                .then_with(|| a.id.cmp(b.id))
        });
        if !ignore_pauses && !keeps_light_reserve {
            candidates.pop();
        }
        let has_memory = |c: &Candidate<'_>| c.load.has_room(&self.profile, primary_memory);
        let primary = candidates.iter().position(has_memory)?;
        let primary = candidates.remove(primary);
        let helpers = candidates.get(..size - 1)?;
        let prefill_ends = helpers.iter().map(|helper| helper.estimate.prefill_until);
        let prefill_until = prefill_ends.fold(primary.estimate.prefill_until, f64::max);
        let context = primary.load.memory() + work.prompt;
        let decode_pass_ms = self.profile.decode_pass_ms(primary.load.len() + 1, context);
        Some(Grant {
            engine: primary.id.clone(),
            helpers: helpers.iter().map(|helper| helper.id.clone()).collect(),
            reserve_tokens: reserves_memory.then(|| part_memory.ceil()),
            first_event_ms: prefill_until - now + decode_pass_ms,
        })
    }

    fn candidates<'a>(&'a self, now: f64, work: &'a Work) -> Vec<Candidate<'a>> {
        let memory = work.prompt + work.answer_limit;
        let with_room = self
            .usable_engines(now, work)
            .filter(|(_, load)| load.has_room(&self.profile, memory));
        let all = with_room.map(|(id, load)| {
            let estimate = load.estimate(&self.profile, now, work.prompt, 1.0);
            Candidate { id, load, estimate }
        });
        all.filter(|candidate| candidate.estimate.keeps_pauses)
            .collect()
    }

    fn usable_engines<'a>(
        &'a self,
        now: f64,
        work: &'a Work,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a EngineLoad)> {
        self.engines.iter().filter(move |(id, load)| {
            let probing = load.needs_probe(now) && !load.is_empty();
            let slowdown = load.slowdown(now);
            let too_slow = slowdown > 1.0
                && self.profile.decode_pass_ms(1, work.prompt) * slowdown > work.pause_ms;
            !load.is_excluded(now)
                && !probing
                && !too_slow
                && !load.is_overdue(now)
                && !work.excluded.contains(id)
        })
    }

    /// Whether light requests keep enough capacity if a heavy one takes another idle engine.
    fn keeps_light_reserve(&self, now: f64) -> bool {
        let shortest_pause = self.shortest_pause.0;
        if !self.light_demand.is_recent(now, SHORTEST_PAUSE_TTL_MS) {
            return true;
        }
        let slots = f64::from(self.profile.slots);
        let mut in_progress = 0.0;
        let mut capacity = -slots;
        for load in self.engines.values().filter(|load| !load.is_excluded(now)) {
            if load.is_empty() {
                capacity += slots;
            } else if load.shortest_pause() <= shortest_pause * 1.01 {
                capacity += slots;
                in_progress += load.len() as f64;
            }
        }
        let expected = self.light_demand.forecast(now).max(in_progress);
        capacity >= LIGHT_RESERVE_MIN + expected * LIGHT_RESERVE_FACTOR
    }
}

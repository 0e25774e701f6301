//! [`Planner`].

use std::collections::BTreeMap;

use crate::{
    DataCentreName, EngineLimit, EngineLoad, EngineProfile, Grant, UpstreamId, Work, WorkId,
    candidate::Candidate, first_event_error::FirstEventError, fleet_slowdown::FleetSlowdown,
    freed_slots::FreedSlots, group_search::GroupSearch, hold_times::HoldTimes,
    light_demand::LightDemand,
};

/// Time after which the shortest tolerated pause expires if no caller with such a pause arrives.
const SHORTEST_PAUSE_TTL_MS: f64 = 5_000.0;
/// Safety factor on the pass time of a prompt, which must stay below the shortest tolerated pause for the
/// request to count as light.
const LIGHT_MARGIN: f64 = 1.12;
/// Slots that heavy requests leave free for light ones, as a multiple of the expected number of light
/// requests in progress.
const LIGHT_RESERVE_FACTOR: f64 = 1.0;
/// Slots that heavy requests leave free for light ones in addition to that multiple.
const LIGHT_RESERVE_MIN: f64 = 4.0;
/// Maximum number of engines that share the prefill of one prompt. The protocol allows 17.
const MAX_GROUP_SIZE: usize = 16;

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
    first_event_error: FirstEventError,
    pub(crate) engines: BTreeMap<UpstreamId, EngineLoad>,
    /// Engines in evacuated data centres. Requests may still run there, so that the load is known when they return.
    pub(crate) evacuated: BTreeMap<UpstreamId, EngineLoad>,
    /// Shortest pause that callers tolerate, and the time at which such a caller last arrived.
    shortest_pause: (f64, f64),
    light_demand: LightDemand,
    /// Times for which requests hold slots of engines that serve light requests.
    hold_times: HoldTimes,
}

impl Planner {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self {
            configured_profile: profile.clone(),
            profile,
            slowdown: FleetSlowdown::new(),
            first_event_error: FirstEventError::default(),
            engines: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            shortest_pause: (f64::INFINITY, 0.0),
            light_demand: LightDemand::default(),
            hold_times: HoldTimes::new(),
        }
    }

    /// Replaces the configured speed and size.
    pub(crate) fn set_profile(&mut self, configured_profile: EngineProfile) {
        self.profile = configured_profile.slowed(self.slowdown.factor());
        self.configured_profile = configured_profile;
    }

    /// Records a first event that took `ratio` times the expected time, and adjusts the profile.
    pub(crate) fn note_slowdown(&mut self, now: f64, ratio: f64) {
        self.first_event_error.note_ratio(ratio);
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

    /// Replaces the sets of usable and of evacuated engines. The state of engines that remain in either is kept.
    pub(crate) fn set_engines(
        &mut self,
        usable: impl IntoIterator<Item = (UpstreamId, DataCentreName)>,
        evacuated: impl IntoIterator<Item = (UpstreamId, DataCentreName)>,
    ) {
        let mut old = std::mem::take(&mut self.engines);
        old.append(&mut self.evacuated);
        let mut load = |(id, data_centre): (UpstreamId, DataCentreName)| {
            let load = old.remove(&id);
            let load = load.unwrap_or_else(|| EngineLoad::new(id.clone(), data_centre));
            (id, load)
        };
        self.engines = usable.into_iter().map(&mut load).collect();
        self.evacuated = evacuated.into_iter().map(load).collect();
    }

    /// Load of an engine, usable or evacuated.
    pub(crate) fn load_mut(&mut self, id: &UpstreamId) -> Option<&mut EngineLoad> {
        self.load_and_profile(id).map(|(load, _)| load)
    }

    /// Load of an engine, usable or evacuated, and the profile of the engines.
    pub(crate) fn load_and_profile(
        &mut self,
        id: &UpstreamId,
    ) -> Option<(&mut EngineLoad, &EngineProfile)> {
        let load = self.engines.get_mut(id);
        let load = load.or_else(|| self.evacuated.get_mut(id))?;
        Some((load, &self.profile))
    }

    /// Whether there are engines, and all of them are evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.engines.is_empty() && !self.evacuated.is_empty()
    }

    /// Sets the start times of the processes of engines, as seen by `started_at`.
    pub(crate) fn set_started_at(&mut self, started_at: impl Fn(&UpstreamId) -> Option<u64>) {
        for (id, load) in &mut self.engines {
            load.set_started_at(started_at(id));
        }
    }

    /// Sets the limits on the requests of engines, as seen by `limit`.
    pub(crate) fn set_limits(
        &mut self,
        now: f64,
        limit: impl Fn(&UpstreamId) -> Option<EngineLimit>,
    ) {
        for (id, load) in &mut self.engines {
            load.set_limit(now, limit(id));
        }
    }

    /// Time after which the limits of the engines allow as many requests as there are in a queue of `waiting`
    /// and one more, in milliseconds; 0 if an engine has no limit.
    pub(crate) fn limits_wait_ms(&self, now: f64, waiting: usize) -> f64 {
        let mut total_per_ms = 0.0;
        let mut first_wait_ms = f64::INFINITY;
        for load in self.engines.values().filter(|load| !load.is_excluded(now)) {
            let Some(per_second) = load.limit_per_second() else {
                return 0.0;
            };
            total_per_ms += per_second / 1e3;
            first_wait_ms = first_wait_ms.min(load.limit_wait_ms(now));
        }
        if first_wait_ms.is_finite() {
            first_wait_ms + waiting as f64 / total_per_ms
        } else {
            0.0
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
            let free = self.free_engines(now, work);
            self.plan_group(now, work, min_size, free)
                .ok_or(PlanError::NotInTime)
        } else {
            self.plan_single(now, work)
        }
    }

    fn max_group_size(&self) -> usize {
        self.engines.len().clamp(1, MAX_GROUP_SIZE)
    }

    /// Service time of a request on an otherwise idle engine, or on the minimum number of engines that can
    /// hold it.
    pub(crate) fn service_ms(&self, work: &Work) -> f64 {
        let group_size = self.min_group_size(work) as f64;
        let passes = (work.answer / self.profile.steps_per_pass).ceil();
        self.profile.prefill_ms(work.prompt) / group_size
            + passes * self.profile.decode_pass_ms(1, work.prompt)
    }

    /// Shortest possible service time of a request: on idle engines, as many as may share its prefill.
    pub(crate) fn fastest_service_ms(&self, work: &Work) -> f64 {
        let passes = (work.answer / self.profile.steps_per_pass).ceil();
        self.fastest_first_event_ms(work)
            + (passes - 1.0).max(0.0) * self.profile.decode_pass_ms(1, work.prompt)
    }

    /// Shortest possible time to the first event of a request: on idle engines, as many as may share its prefill.
    pub(crate) fn fastest_first_event_ms(&self, work: &Work) -> f64 {
        let group_size = if self.is_heavy(work) {
            self.max_group_size()
        } else {
            1
        };
        self.profile.prefill_ms(work.prompt) / group_size as f64
            + self.profile.decode_pass_ms(1, work.prompt)
    }

    /// Time left for the first event, so that the rest of the answer comes before the time limit.
    pub(crate) fn first_event_limit_ms(&self, work: &Work) -> f64 {
        let decode_ms = self.fastest_service_ms(work) - self.fastest_first_event_ms(work);
        work.first_event_limit_ms()
            .min(work.time_limit_ms() - decode_ms)
    }

    /// Time to the first event of a light request on an engine whose other slots are all taken by similar requests.
    pub(crate) fn light_first_event_ms(&self, work: &Work) -> f64 {
        self.profile.shared_first_event_ms(work.prompt, work.answer)
    }

    /// Service time of a light request on an engine whose slots are all taken by similar requests.
    pub(crate) fn light_service_ms(&self, work: &Work) -> f64 {
        self.profile.shared_service_ms(work.prompt, work.answer)
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
        let on_time = self.on_time_ms(work);
        let heavy = self.is_heavy(work);
        let free = if heavy {
            self.free_engines(now, work)
        } else {
            usize::MAX
        };
        let mut candidates = self.candidates(now, work);
        candidates.retain(|c| free > 0 || !c.load.is_empty());
        let is_on_time = |c: &&Candidate<'_>| c.estimate.first_event_ms <= on_time;
        let best = candidates
            .iter()
            .filter(is_on_time)
            .max_by(|a, b| a.compare(b, work));
        if let Some(best) = best {
            return Ok(best.grant());
        }
        if heavy && let Some(grant) = self.plan_group(now, work, 2, free) {
            return Ok(grant);
        }
        if candidates.is_empty() && (!heavy || !self.has_room_for_parts(now, work, free)) {
            return Err(PlanError::NoCapacity);
        }
        let can_be_on_time = self.fastest_first_event_ms(work) <= on_time;
        if can_be_on_time {
            return Err(PlanError::NotInTime);
        }
        let limit_ms = self.first_event_limit_ms(work);
        let in_time = |c: &&Candidate<'_>| c.estimate.first_event_ms <= limit_ms;
        let soonest = candidates.iter().filter(in_time).min_by(|a, b| {
            a.estimate
                .first_event_ms
                .total_cmp(&b.estimate.first_event_ms)
        });
        if let Some(soonest) = soonest {
            return Ok(soonest.grant());
        }
        let search = self.group_search(now, work).with_max_idle(free);
        let late_group = heavy.then(|| search.find_before(2, self.max_group_size(), limit_ms));
        late_group.flatten().ok_or(PlanError::NotInTime)
    }

    /// Longest expected time to the first event that meets the objective, by the measured error of such estimates.
    fn on_time_ms(&self, work: &Work) -> f64 {
        self.first_event_error
            .longest_estimate_ms(work.objective_ms)
    }

    /// Number of idle engines that a heavy request may use: those that light requests can spare.
    fn free_engines(&self, now: f64, work: &Work) -> usize {
        let idle = self
            .usable_engines(now, work)
            .filter(|(_, load)| load.is_empty())
            .count();
        idle.min(self.light_surplus(now))
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

    /// Splits the prefill over at least `min_size` engines, `free` of them idle ones at most.
    fn plan_group(&self, now: f64, work: &Work, min_size: usize, free: usize) -> Option<Grant> {
        let search = self.group_search(now, work).with_max_idle(free);
        search.find(min_size, self.max_group_size())
    }

    /// Whether any group of engines could prefill the prompt, regardless of time.
    fn has_room_for_parts(&self, now: f64, work: &Work, free: usize) -> bool {
        let max_size = self.max_group_size();
        let search = self.group_search(now, work).with_max_idle(free);
        search.has_room(max_size)
    }

    fn group_search<'a>(&'a self, now: f64, work: &'a Work) -> GroupSearch<'a> {
        let engines = self.usable_engines(now, work);
        let holders = self.min_group_size(work);
        GroupSearch::new(&self.profile, now, work, engines, holders)
            .with_on_time(self.on_time_ms(work))
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
                && load.limit_wait_ms(now) <= 0.0
                && !probing
                && !too_slow
                && !load.is_overdue(now)
                && !work.excluded.contains(id)
        })
    }

    /// Records that a request ends on the engine, for the distribution of the times for which slots are held.
    pub(crate) fn note_slot_freed(&mut self, now: f64, engine: &UpstreamId, id: WorkId) {
        let Some(load) = self.engines.get(engine) else {
            return;
        };
        if let Some(ratio) = load.hold_ratio(id, now).filter(|_| self.serves_light(load)) {
            self.hold_times.note_ratio(ratio);
        }
    }

    /// Whether an engine is idle or serves light requests, so that it can take more of them.
    fn serves_light(&self, load: &EngineLoad) -> bool {
        load.is_empty() || load.shortest_pause() <= self.shortest_pause.0 * 1.01
    }

    /// Whether any engine is available, with a free slot or without.
    pub(crate) fn has_available_engine(&self, now: f64) -> bool {
        self.engines.values().any(|load| !load.is_excluded(now))
    }

    /// Number of slots that light requests can take within `horizon_ms`, each for as long as `work` takes.
    pub(crate) fn freed_light_slots(&self, now: f64, horizon_ms: f64, work: &Work) -> FreedSlots {
        let mut freed = FreedSlots::default();
        if horizon_ms < 0.0 {
            return freed;
        }
        let service_ms = self.light_service_ms(work).max(1.0);
        let first_turn_ms = horizon_ms.min(service_ms);
        let slots = f64::from(self.profile.slots);
        for load in self.engines.values().filter(|load| !load.is_excluded(now)) {
            let taken_from_ms = if self.serves_light(load) {
                let times = &self.hold_times;
                load.add_freed_slots(&self.profile, times, now, first_turn_ms, &mut freed);
                first_turn_ms
            } else {
                let busy_ms = load.busy_ms(&self.profile, now);
                if busy_ms > horizon_ms {
                    continue;
                }
                freed.add_free(slots);
                busy_ms
            };
            // Slots that are taken again become free again at the mean rate.
            freed.add_free(slots * (horizon_ms - taken_from_ms) / service_ms);
        }
        freed
    }

    /// Expected time until light requests can take `count` slots, each for as long as `work` takes; infinite if no
    /// engine serves light requests soon.
    pub(crate) fn light_slots_wait_ms(&self, now: f64, count: f64, work: &Work) -> f64 {
        let service_ms = self.light_service_ms(work);
        let (mut from_ms, mut from) = (0.0, self.freed_light_slots(now, 0.0, work).mean());
        if from >= count {
            return 0.0;
        }
        for to_ms in [service_ms / 8.0, service_ms, 2.0 * service_ms] {
            let to = self.freed_light_slots(now, to_ms, work).mean();
            let rate_per_ms = (to - from) / (to_ms - from_ms);
            let is_last = to_ms > service_ms;
            if rate_per_ms > 0.0 && (to >= count || is_last) {
                return from_ms + (count - from) / rate_per_ms;
            }
            (from_ms, from) = (to_ms, to);
        }
        f64::INFINITY
    }

    /// Number of slots that light requests similar to `work` will need within `horizon_ms`, if they go on to arrive at the
    /// present rate.
    pub(crate) fn light_demand_within(&self, now: f64, horizon_ms: f64, work: &Work) -> f64 {
        self.light_demand.forecast(now) * horizon_ms / self.light_service_ms(work).max(1.0)
    }

    /// Number of idle engines that light requests can spare.
    fn light_surplus(&self, now: f64) -> usize {
        let shortest_pause = self.shortest_pause.0;
        if !self.light_demand.is_recent(now, SHORTEST_PAUSE_TTL_MS) {
            return usize::MAX;
        }
        let slots = f64::from(self.profile.slots);
        let mut in_progress = 0.0;
        let mut capacity = 0.0;
        let available =
            |load: &&EngineLoad| !load.is_excluded(now) && load.limit_wait_ms(now) <= 0.0;
        for load in self.engines.values().filter(available) {
            if load.is_empty() {
                capacity += slots;
            } else if load.shortest_pause() <= shortest_pause * 1.01 {
                capacity += slots;
                in_progress += load.len() as f64;
            }
        }
        let expected = self.light_demand.forecast(now).max(in_progress);
        let surplus = capacity - LIGHT_RESERVE_MIN - expected * LIGHT_RESERVE_FACTOR;
        (surplus / slots).max(0.0) as usize
    }
}

//! [`Scheduler`].

use std::collections::HashMap;

use oleanderpost_types::VmId;

use crate::{
    CrashLedger, DataCentreName, Decision, EngineLimit, EngineLoad, EngineProfile, Grant, PartId,
    PartSpec, RequestRate, SlowEngine, UpstreamId, Work, WorkEnd, WorkId,
    light_backlog::LightBacklog,
    planner::{PlanError, Planner},
    queued_work::QueuedWork,
    unmet_needs::UnmetNeeds,
};

/// Age after which a placement that its node no longer reports is dropped.
const UNREPORTED_TIMEOUT_MS: f64 = 1_000.0;
/// Wait reported to callers while no engine is available, in milliseconds: a usual engine restart takes
/// about a second.
const NO_ENGINE_WAIT_MS: f64 = 1_000.0;

/// Wait reported to callers whose request is refused only because its node stops: other nodes accept it at once.
const OTHER_NODE_WAIT_MS: f64 = 0.0;

/// A request placed on one or more engines.
#[derive(Clone, Debug)]
struct PlacedWork {
    node: VmId,
    engine: UpstreamId,
    /// Engines that keep parts of the prompt in memory and take part in every decode step.
    holders: Vec<UpstreamId>,
    /// Engines that only prefill parts of the prompt.
    readers: Vec<UpstreamId>,
    placed_at: f64,
    first_event_at: Option<f64>,
    /// Parts of the prompt.
    parts: Vec<PartId>,
}

/// Assigns the requests of one service to engines and queues those that have to wait.
///
/// Built for request mixes that change within seconds, with prompts of 5,000 tokens next to prompts of
/// 600,000. An engine prefills prompts between the decode steps of its other requests, so a long prompt is
/// placed only where every caller tolerates pauses as long as the passes that it causes. Light requests are
/// packed onto few engines, so that other engines become idle and can take the heavy ones.
///
/// One scheduler should place all requests of a service. It persists nothing: a new scheduler rebuilds its
/// state from the placements that the nodes report. All times are milliseconds on a clock supplied by the
/// caller.
#[derive(Debug)]
pub struct Scheduler {
    planner: Planner,
    placements: HashMap<WorkId, PlacedWork>,
    queue: Vec<QueuedWork>,
    searches: u64,
    crash_ledger: CrashLedger,
    light_backlog: LightBacklog,
}

impl Scheduler {
    /// Creates a scheduler without engines.
    #[must_use]
    pub fn new(profile: EngineProfile) -> Self {
        Self {
            planner: Planner::new(profile),
            placements: HashMap::new(),
            queue: Vec::new(),
            searches: 0,
            crash_ledger: CrashLedger::default(),
            light_backlog: LightBacklog::default(),
        }
    }

    /// Starts with what is known of prompts that crash engines.
    #[must_use]
    pub fn with_crash_ledger(mut self, crash_ledger: CrashLedger) -> Self {
        self.crash_ledger = crash_ledger;
        self
    }

    /// Replaces the configured speed and size of the engines.
    pub fn set_profile(&mut self, profile: EngineProfile) {
        self.planner.set_profile(profile);
    }

    /// Replaces the set of available engines. The state of engines that remain is kept.
    pub fn set_engines(&mut self, usable: impl IntoIterator<Item = (UpstreamId, DataCentreName)>) {
        self.planner.set_engines(usable, []);
    }

    /// Replaces the sets of available engines and of those in evacuated data centres, which get no requests. The state of
    /// engines that remain in either is kept.
    pub fn set_engines_with_evacuated(
        &mut self,
        usable: impl IntoIterator<Item = (UpstreamId, DataCentreName)>,
        evacuated: impl IntoIterator<Item = (UpstreamId, DataCentreName)>,
    ) {
        self.planner.set_engines(usable, evacuated);
    }

    /// Sets the start times of the processes of engines, as in [`Upstream::started_at`](crate::Upstream::started_at).
    /// What was measured for another process is dropped.
    pub fn set_started_at(&mut self, started_at: impl Fn(&UpstreamId) -> Option<u64>) {
        self.planner.set_started_at(started_at);
    }

    /// The engines that were slow when last measured.
    pub fn slow_engines(&self, now: f64) -> impl Iterator<Item = SlowEngine> {
        let engines = self.planner.engines.values();
        engines.filter_map(move |load| load.slow_engine(now))
    }

    /// Adopts the speed of an engine that another scheduler measured at `measured_at`, unless a later measurement is
    /// known; returns whether the engine is known.
    pub fn learn_slow_engine(&mut self, measured_at: f64, engine: &SlowEngine) -> bool {
        let load = self.planner.engines.get_mut(&engine.upstream);
        load.map(|load| load.learn_slowdown(measured_at, engine))
            .is_some()
    }

    /// Sets the rates at which this scheduler may place requests on engines; `limit` is `None` for those without a
    /// limit.
    pub fn set_limits(&mut self, now: f64, limit: impl Fn(&UpstreamId) -> Option<RequestRate>) {
        self.set_engine_limits(now, |id| limit(id).map(EngineLimit::new));
    }

    /// Sets the limits on the requests that this scheduler may place on engines, and which of them are cold.
    pub fn set_engine_limits(
        &mut self,
        now: f64,
        limit: impl Fn(&UpstreamId) -> Option<EngineLimit>,
    ) {
        self.planner.set_limits(now, limit);
    }

    /// Load of each engine.
    pub fn engines(&self) -> impl Iterator<Item = (&UpstreamId, &EngineLoad)> {
        self.planner.engines.iter()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of placed requests.
    #[must_use]
    pub fn placed(&self) -> usize {
        self.placements.len()
    }

    /// Total number of searches for an engine.
    #[must_use]
    pub fn searches(&self) -> u64 {
        self.searches
    }

    /// Places a new request, queues it or refuses it.
    pub fn submit(&mut self, now: f64, node: &VmId, work: Work) -> Decision {
        self.planner.note_arrival(now, &work);
        // A node submits a request again if the reply was lost.
        self.note_end(now, work.id, WorkEnd::Cancelled);
        if let Some(retry_after_ms) = self.crash_ledger.quarantine_left(now, &work.parts) {
            return Decision::Refuse { retry_after_ms };
        }
        if self.planner.is_evacuated() {
            return Decision::Refuse {
                retry_after_ms: NO_ENGINE_WAIT_MS,
            };
        }
        let work = self.without_unreachable_patience(work);
        if let Ok(grant) = self.try_place(now, node, &work) {
            return Decision::Run(grant);
        }
        let waiting = QueuedWork {
            node: node.clone(),
            work,
            queued_at: now,
        };
        let limits_wait = self.planner.limits_wait_ms(now, self.queue.len());
        let first_event_ms = self.planner.fastest_first_event_ms(&waiting.work);
        if limits_wait > waiting.work.max_limit_wait_ms(first_event_ms) {
            return Decision::Refuse {
                retry_after_ms: limits_wait,
            };
        }
        let ahead = self.light_ahead_of(now, &waiting);
        if !self.may_wait(now, &waiting, ahead) {
            return self.reject(now, &waiting, ahead);
        }
        self.queue.push(waiting);
        Decision::Wait
    }

    /// Number of light requests in the queue that are served before this one.
    fn light_ahead_of(&self, now: f64, waiting: &QueuedWork) -> usize {
        let rank = |queued: &QueuedWork| {
            let fastest_ms = self.planner.fastest_first_event_ms(&queued.work);
            queued.rank(fastest_ms, now)
        };
        let own_rank = rank(waiting);
        let light = self
            .queue
            .iter()
            .filter(|queued| !self.planner.is_heavy(&queued.work));
        light.filter(|queued| rank(queued) <= own_rank).count()
    }

    /// Whether a request that can't be placed now may wait behind `ahead` light ones.
    ///
    /// Light requests may if they are expected to get a slot in time for their objective, or late if requests that
    /// arrive meanwhile leave slots over. Others would take slots from requests that can still be in time.
    fn may_wait(&self, now: f64, waiting: &QueuedWork, ahead: usize) -> bool {
        let work = waiting.work_at(now);
        if !self.can_be_in_time(&work) {
            return false;
        }
        let has_waited = waiting.queued_at < now;
        if self.planner.is_heavy(&work) || !self.planner.has_available_engine(now) {
            return has_waited || !self.is_too_late_after(self.expected_engine_wait_ms(now), &work);
        }
        let needed = (ahead + 1) as f64;
        let first_event_ms = self.planner.fastest_first_event_ms(&work);
        let limit_ms = self.planner.first_event_limit_ms(&work);
        let shared_ms = self.planner.light_first_event_ms(&work);
        let in_time_ms = limit_ms.min(work.objective_ms) - shared_ms;
        let freed = self.planner.freed_light_slots(now, in_time_ms, &work);
        // A request that waits already stays as long as the error of the estimate allows.
        let in_time = if has_waited {
            freed.are_possible(needed)
        } else {
            freed.are_likely(needed)
        };
        if in_time {
            return true;
        }
        let late_ms = limit_ms - first_event_ms;
        let freed = self.planner.freed_light_slots(now, late_ms, &work);
        let demand = if waiting.work.objective_ms < first_event_ms {
            // It was late when it arrived, and is as urgent as any other.
            0.0
        } else {
            self.planner.light_demand_within(now, late_ms, &work)
        };
        freed.are_likely(needed + demand)
    }

    /// Whether the request is refused if it has to wait for `wait_ms`, as it would probably be late.
    fn is_too_late_after(&self, wait_ms: f64, work: &Work) -> bool {
        let need = self.planner.fastest_service_ms(work);
        let first_event_ms = self.planner.fastest_first_event_ms(work);
        wait_ms + need > work.time_limit_ms()
            || wait_ms + first_event_ms > work.first_event_limit_ms()
    }

    /// Drops the patience of a request whose first event takes longer even on idle engines: its caller expects that, or
    /// the engines are faster than stated.
    fn without_unreachable_patience(&self, work: Work) -> Work {
        let fastest_ms = self.planner.fastest_first_event_ms(&work);
        let patience_ms = work.patience_ms.filter(|patience| *patience >= fastest_ms);
        Work {
            patience_ms,
            ..work
        }
    }

    /// Rejects a request that would have to wait behind `ahead` light ones, with the time at which it makes sense to come
    /// back.
    fn reject(&mut self, now: f64, waiting: &QueuedWork, ahead: usize) -> Decision {
        let elsewhere = QueuedWork {
            work: waiting.work.at_lasting_node(),
            ..waiting.clone()
        };
        let work = elsewhere.work_at(now);
        let retry_after_ms = if self.may_wait(now, &elsewhere, ahead) {
            OTHER_NODE_WAIT_MS
        } else if !self.can_be_in_time(&elsewhere.work) {
            // Not even idle engines could serve it when it arrived.
            self.planner.fastest_service_ms(&work)
        } else if self.planner.is_heavy(&work) {
            self.expected_engine_wait_ms(now)
        } else {
            self.note_light_return(now, &work, ahead)
        };
        Decision::Refuse { retry_after_ms }
    }

    /// Time after which a light request can be expected to be served: when those ahead of it and the callers that were told
    /// to come back have got slots, and the overload has ended. The caller is expected back then.
    fn note_light_return(&mut self, now: f64, work: &Work, ahead: usize) -> f64 {
        let service_ms = self.planner.light_service_ms(work);
        let lasted_ms = self.light_backlog.note_rejection(now, service_ms);
        let backlog = ahead + self.light_backlog.returns(now) + 1;
        let wait_ms = self.planner.light_slots_wait_ms(now, backlog as f64, work);
        let limits_ms = self.planner.limits_wait_ms(now, self.queue.len());
        let wait_ms = if wait_ms.is_finite() {
            wait_ms.max(lasted_ms)
        } else {
            NO_ENGINE_WAIT_MS
        };
        self.light_backlog.note_return(now + wait_ms);
        wait_ms.max(limits_ms)
    }

    /// Prompts that crash engines, and are refused for that reason.
    #[must_use]
    pub fn crash_ledger(&self) -> &CrashLedger {
        &self.crash_ledger
    }

    /// Prompts that crash engines, to add what other nodes know.
    pub fn crash_ledger_mut(&mut self) -> &mut CrashLedger {
        &mut self.crash_ledger
    }

    /// Records the first event of a request.
    pub fn note_first_event(&mut self, now: f64, id: WorkId) {
        let Some(placed_work) = self.placements.get_mut(&id) else {
            return;
        };
        placed_work.first_event_at = Some(now);
        self.crash_ledger
            .note_start(now, &placed_work.engine, &placed_work.parts);
        if let Some(load) = self.planner.load_mut(&placed_work.engine) {
            let ratio = load.note_first_event(id, now);
            if let Some(ratio) = ratio {
                self.planner.note_slowdown(now, ratio);
            }
        }
        for holder in &placed_work.holders {
            if let Some(load) = self.planner.load_mut(holder) {
                load.note_first_event(id, now);
            }
        }
        for reader in std::mem::take(&mut placed_work.readers) {
            if let Some(load) = self.planner.load_mut(&reader) {
                load.remove(id, now);
            }
        }
    }

    /// Records that a request has ended or is no longer waiting.
    pub fn note_end(&mut self, now: f64, id: WorkId, end: WorkEnd) {
        self.queue.retain(|waiting| waiting.work.id != id);
        let Some(placed_work) = self.placements.remove(&id) else {
            return;
        };
        let PlacedWork {
            engine,
            holders,
            readers,
            ..
        } = &placed_work;
        if matches!(end, WorkEnd::Finished | WorkEnd::Cancelled) {
            self.planner.note_slot_freed(now, engine, id);
        }
        for engine in holders.iter().chain(readers).chain([engine]) {
            if let Some(load) = self.planner.load_mut(engine) {
                load.remove(id, now);
            }
        }
        match end {
            WorkEnd::Finished => self.crash_ledger.note_alive(now, engine),
            WorkEnd::Disconnected => self.note_disconnected(now, &placed_work),
            WorkEnd::Cancelled | WorkEnd::Shed | WorkEnd::Failed => {}
        }
        let Some(load) = self.planner.load_mut(&placed_work.engine) else {
            return;
        };
        match end {
            WorkEnd::Finished => load.note_success(),
            WorkEnd::Cancelled => {}
            WorkEnd::Shed => load.note_shed(now),
            WorkEnd::Failed | WorkEnd::Disconnected => load.note_failure(now),
        }
    }

    /// Records that the engine of a request, which is no longer among the placements, closed its connection.
    fn note_disconnected(&mut self, now: f64, ended: &PlacedWork) {
        let placed = self.placements.values().chain([ended]);
        let unproven = placed.filter(|placed_work| {
            placed_work.engine == ended.engine
                && CrashLedger::is_unproven(now, placed_work.first_event_at)
        });
        let prompts: Vec<_> = unproven
            .map(|placed_work| placed_work.parts.clone())
            .collect();
        let unanswered = prompts.len();
        if self.crash_ledger.note_crash(now, &ended.engine, prompts) {
            spdlog::info!("engine broke off its requests", kv: { engine: = ended.engine, unanswered });
        }
    }

    /// Adopts a placement that was made by the node itself or by another scheduler.
    pub fn adopt(
        &mut self,
        now: f64,
        node: &VmId,
        work: &Work,
        engine: &UpstreamId,
        started: bool,
    ) {
        if self.placements.contains_key(&work.id) {
            return;
        }
        let Some((load, profile)) = self.planner.load_and_profile(engine) else {
            return;
        };
        let estimate = load.estimate(profile, now, work.prompt, 1.0);
        let spec = PartSpec {
            share: 1.0,
            decodes: true,
            distributed: false,
            memory: work.prompt + work.answer,
        };
        load.place(profile, work, now, &estimate, spec);
        if started {
            load.note_started(work.id, now);
        }
        self.placements.insert(
            work.id,
            PlacedWork {
                node: node.clone(),
                engine: engine.clone(),
                holders: Vec::new(),
                readers: Vec::new(),
                placed_at: now,
                first_event_at: started.then_some(now),
                parts: work.parts.clone(),
            },
        );
    }

    /// Whether the request is placed or waiting here.
    #[must_use]
    pub fn contains(&self, id: WorkId) -> bool {
        self.placements.contains_key(&id) || self.queue.iter().any(|waiting| waiting.work.id == id)
    }

    /// Drops the node's placements and waiting requests that are not in `reported`, except those too recent
    /// to be in the report.
    pub fn retain_reported(&mut self, now: f64, node: &VmId, reported: &[WorkId]) {
        let unreported: Vec<_> = self
            .placements
            .iter()
            .filter(|(id, placed_work)| {
                placed_work.node == *node
                    && now - placed_work.placed_at > UNREPORTED_TIMEOUT_MS
                    && !reported.contains(id)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in unreported {
            self.note_end(now, id, WorkEnd::Cancelled);
        }
        self.queue.retain(|w| {
            w.node != *node
                || now - w.queued_at <= UNREPORTED_TIMEOUT_MS
                || reported.contains(&w.work.id)
        });
    }

    /// Drops all requests of a node that has left the fleet.
    pub fn remove_node(&mut self, now: f64, node: &VmId) {
        self.retain_reported(now + UNREPORTED_TIMEOUT_MS, node, &[]);
        self.queue.retain(|waiting| waiting.node != *node);
    }

    /// Tries to place the waiting requests and returns the new decisions with the nodes that they are for.
    ///
    /// No capacity is freed during one round, so once a request does not fit, requests that need at least
    /// as much are skipped.
    pub fn schedule_waiting(&mut self, now: f64) -> Vec<(VmId, WorkId, Decision)> {
        let mut decisions = Vec::new();
        let queue = self.take_ranked_queue(now);
        let classified = queue.iter().map(|waiting| {
            let work = &waiting.work;
            (self.planner.is_heavy(work), work)
        });
        let mut unmet = UnmetNeeds::new(classified);
        let limits_wait = self.planner.limits_wait_ms(now, 0);
        let mut heavy_waits = false;
        let mut light_waiting = 0;
        for waiting in queue {
            let work = waiting.work_at(now);
            if let Some(retry_after_ms) = self.crash_ledger.quarantine_left(now, &work.parts) {
                decisions.push((waiting.node, work.id, Decision::Refuse { retry_after_ms }));
                continue;
            }
            if self.planner.is_evacuated() {
                let retry_after_ms = NO_ENGINE_WAIT_MS;
                decisions.push((waiting.node, work.id, Decision::Refuse { retry_after_ms }));
                continue;
            }
            let heavy = self.planner.is_heavy(&work);
            let fastest_ms = self.planner.fastest_first_event_ms(&work);
            let late = waiting.is_late(fastest_ms, now);
            // A late prompt would take each engine as it becomes idle, so that no group for one ahead ever forms.
            let yields = heavy && late && heavy_waits;
            let placed = if yields || unmet.rules_out(&work) {
                Err(PlanError::NoCapacity)
            } else {
                self.try_place(now, &waiting.node, &work)
            };
            let decision = match placed {
                Ok(grant) => Decision::Run(grant),
                Err(_) if !self.may_wait(now, &waiting, light_waiting) => {
                    self.reject(now, &waiting, light_waiting)
                }
                Err(_) if limits_wait > 0.0 && waiting.has_missed_limit_wait(fastest_ms, now) => {
                    Decision::Refuse {
                        retry_after_ms: limits_wait,
                    }
                }
                Err(reason) => {
                    heavy_waits |= heavy;
                    light_waiting += usize::from(!heavy);
                    if reason == PlanError::NoCapacity && !yields {
                        self.note_no_capacity(now, &work, &mut unmet);
                    }
                    self.queue.push(waiting);
                    continue;
                }
            };
            decisions.push((waiting.node, work.id, decision));
        }
        decisions
    }

    /// Records that a request does not fit on any engine. The first time for light or heavy requests, also
    /// checks whether even the smallest needs of that kind fit.
    fn note_no_capacity(&mut self, now: f64, work: &Work, unmet: &mut UnmetNeeds) {
        unmet.note_unmet(work);
        let Some(minimum) = unmet.take_minimum(self.planner.is_heavy(work)) else {
            return;
        };
        self.searches += 1;
        if self.planner.plan(now, &minimum) == Err(PlanError::NoCapacity) {
            unmet.note_unmet(&minimum);
        }
    }

    /// Empties the queue and returns its requests in the order in which they are to be served.
    fn take_ranked_queue(&mut self, now: f64) -> Vec<QueuedWork> {
        let queue = std::mem::take(&mut self.queue);
        let mut ranked: Vec<_> = queue
            .into_iter()
            .map(|waiting| {
                (
                    waiting.rank(self.planner.fastest_first_event_ms(&waiting.work), now),
                    waiting,
                )
            })
            .collect();
        ranked.sort_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        ranked.into_iter().map(|(_, waiting)| waiting).collect()
    }

    /// Whether idle engines could still send the first event before the caller gives up, and the answer before the
    /// time limit.
    fn can_be_in_time(&self, work: &Work) -> bool {
        self.planner.fastest_first_event_ms(work) <= work.first_event_limit_ms()
            && self.planner.fastest_service_ms(work) <= work.time_limit_ms()
    }

    /// Expected wait for an engine: the time until the first engine is free plus the service time of the requests
    /// ahead.
    fn expected_engine_wait_ms(&self, now: f64) -> f64 {
        let queued = self.queue.iter().map(|waiting| {
            let concurrent = if self.planner.is_heavy(&waiting.work) {
                1.0
            } else {
                f64::from(self.planner.profile.slots)
            };
            self.planner.service_ms(&waiting.work) / concurrent
        });
        let first_free = self.first_free_ms(now);
        let queue_ms = queued.sum::<f64>() / self.planner.engines.len().max(1) as f64;
        // Without an available engine the wait can't be estimated.
        if first_free.is_finite() {
            let limits_ms = self.planner.limits_wait_ms(now, self.queue.len());
            (first_free + queue_ms).max(limits_ms)
        } else {
            NO_ENGINE_WAIT_MS
        }
    }

    /// Time until the first available engine has no requests and its limit allows another one; infinite without
    /// available engines.
    #[must_use]
    pub fn first_free_ms(&self, now: f64) -> f64 {
        let engines = self.planner.engines.values();
        engines
            .filter(|load| !load.is_excluded(now))
            .map(|load| load.busy_ms(&self.planner.profile, now))
            .fold(f64::INFINITY, f64::min)
    }

    fn try_place(&mut self, now: f64, node: &VmId, work: &Work) -> Result<Grant, PlanError> {
        self.searches += 1;
        let grant = self.planner.plan(now, work)?;
        self.record_placement(now, node, work, &grant);
        Ok(grant)
    }

    fn record_placement(&mut self, now: f64, node: &VmId, work: &Work, grant: &Grant) {
        let share = 1.0 / grant.size() as f64;
        let distributed = grant.reserve_tokens.is_some();
        for engine in grant.engines() {
            let Some(load) = self.planner.engines.get_mut(engine) else {
                continue;
            };
            let holds = distributed && !grant.readers.contains(engine);
            let decodes = holds || *engine == grant.engine;
            let memory = match grant.reserve_tokens {
                Some(tokens) if holds => tokens,
                None if decodes => work.prompt + work.answer_limit,
                _ => 0.0,
            };
            let estimate = load.estimate(&self.planner.profile, now, work.prompt, share);
            let spec = PartSpec {
                share,
                decodes,
                distributed: holds,
                memory,
            };
            load.place(&self.planner.profile, work, now, &estimate, spec);
        }
        let (holders, readers) = if distributed {
            (grant.helpers.clone(), grant.readers.clone())
        } else {
            (Vec::new(), grant.helpers.clone())
        };
        self.placements.insert(
            work.id,
            PlacedWork {
                node: node.clone(),
                engine: grant.engine.clone(),
                holders,
                readers,
                placed_at: now,
                first_event_at: None,
                parts: work.parts.clone(),
            },
        );
    }
}

//! Runs a request load on simulated engines.

use std::collections::{HashMap, VecDeque};

use oleanderpost_serving::{
    DataCentreName, Decision, EngineProfile, Grant, PartId, Scheduler, UpstreamId, Work, WorkEnd,
    WorkId,
};
use oleanderpost_types::VmId;

use super::{EngineSim, Request, engine_sim::PassResult, profile};

/// Shortest time that a node states in `Retry-After`.
const MIN_RETRY_AFTER_MS: f64 = 50.0;
/// Interval between scheduling rounds in milliseconds.
const SCHEDULING_INTERVAL_MS: f64 = 25.0;

/// Assigns requests to engines.
pub(crate) trait Placer {
    fn submit(&mut self, now: f64, id: usize, req: &Request) -> Decision;
    fn schedule_waiting(&mut self, now: f64) -> Vec<(usize, Decision)>;
    fn record_first_event(&mut self, now: f64, id: usize);
    fn record_end(&mut self, now: f64, id: usize);
    /// Records that the caller has left.
    fn record_cancel(&mut self, now: f64, id: usize) {
        self.record_end(now, id);
    }
}

fn engine_id(n: usize) -> UpstreamId {
    UpstreamId::new(&format!("engine-{n:02}"))
}

fn engine_number(id: &UpstreamId) -> usize {
    id.as_str().rsplit_once('-').unwrap().1.parse().unwrap()
}

/// The scheduler under test.
pub(crate) struct SchedulerPlacer {
    scheduler: Scheduler,
    node: VmId,
    slots: usize,
    /// Whether the scheduler learns when callers give up.
    states_patience: bool,
    /// Requests refused on arrival while less than half of the slots were taken and nothing waited.
    pub(crate) needless_refusals: usize,
}

impl SchedulerPlacer {
    pub(crate) fn new(engines: usize) -> Self {
        Self::with_profile(engines, profile())
    }

    /// Creates a scheduler that is configured with another profile.
    pub(crate) fn with_profile(engines: usize, configured_profile: EngineProfile) -> Self {
        let slots = configured_profile.slots as usize * engines;
        let mut scheduler = Scheduler::new(configured_profile);
        let data_centre = DataCentreName::new("dc-a");
        scheduler.set_engines((0..engines).map(|n| (engine_id(n), data_centre.clone())));
        Self {
            scheduler,
            node: VmId::new("node-1").unwrap(),
            slots,
            states_patience: false,
            needless_refusals: 0,
        }
    }

    /// Tells the scheduler when callers give up.
    pub(crate) fn with_patience(self) -> Self {
        Self {
            states_patience: true,
            ..self
        }
    }
}

impl Placer for SchedulerPlacer {
    fn submit(&mut self, now: f64, id: usize, req: &Request) -> Decision {
        let work = Work {
            id: WorkId(0, id as u64),
            prompt: req.prompt,
            answer: req.kind.answer,
            answer_limit: req.kind.answer * 2.5,
            objective_ms: req.kind.objective_ms,
            pause_ms: req.kind.pause_ms,
            deadline_ms: req.kind.deadline_ms - req.earlier_ms,
            priority: req.kind.priority,
            data_centre: DataCentreName::new("dc-a"),
            excluded: Vec::new(),
            parts: vec![PartId::new(&format!("p{}", req.retry_of.unwrap_or(id)))],
            patience_ms: self.states_patience.then(|| req.kind.patience_ms()),
            node_stops_ms: None,
        };
        let taken: usize = self.scheduler.engines().map(|(_, load)| load.len()).sum();
        let spare = self.scheduler.waiting() == 0 && taken * 2 < self.slots;
        let decision = self.scheduler.submit(now, &self.node, work);
        let refused = matches!(decision, Decision::Refuse { .. });
        self.needless_refusals += usize::from(refused && spare);
        decision
    }

    fn schedule_waiting(&mut self, now: f64) -> Vec<(usize, Decision)> {
        let decided = self.scheduler.schedule_waiting(now).into_iter();
        decided
            .map(|(_, id, decision)| (id.1 as usize, decision))
            .collect()
    }

    fn record_first_event(&mut self, now: f64, id: usize) {
        self.scheduler.note_first_event(now, WorkId(0, id as u64));
    }

    fn record_end(&mut self, now: f64, id: usize) {
        self.scheduler
            .note_end(now, WorkId(0, id as u64), WorkEnd::Finished);
    }

    fn record_cancel(&mut self, now: f64, id: usize) {
        self.scheduler
            .note_end(now, WorkId(0, id as u64), WorkEnd::Cancelled);
    }
}

/// Baseline: the engine with the fewest requests in progress receives the next one at once. A request that
/// exceeds one engine's memory is split over as many engines as it needs.
pub(crate) struct LeastInFlight {
    in_flight: Vec<usize>,
    assigned: HashMap<usize, Vec<usize>>,
    profile: EngineProfile,
}

impl LeastInFlight {
    pub(crate) fn new(engines: usize) -> Self {
        Self::with_profile(engines, profile())
    }

    pub(crate) fn with_profile(engines: usize, profile: EngineProfile) -> Self {
        Self {
            in_flight: vec![0; engines],
            assigned: HashMap::new(),
            profile,
        }
    }
}

impl Placer for LeastInFlight {
    fn submit(&mut self, _now: f64, id: usize, req: &Request) -> Decision {
        let size = (req.prompt / (self.profile.memory_tokens * 0.9)).ceil() as usize;
        let mut order: Vec<_> = (0..self.in_flight.len()).collect();
        order.sort_by_key(|n| self.in_flight[*n]);
        let chosen = order[..size].to_vec();
        for n in &chosen {
            self.in_flight[*n] += 1;
        }
        self.assigned.insert(id, chosen.clone());
        Decision::Run(Grant {
            engine: engine_id(chosen[0]),
            helpers: chosen[1..].iter().map(|n| engine_id(*n)).collect(),
            readers: Vec::new(),
            reserve_tokens: None,
            first_event_ms: 0.0,
            limited: Vec::new(),
        })
    }

    fn schedule_waiting(&mut self, _now: f64) -> Vec<(usize, Decision)> {
        Vec::new()
    }

    fn record_first_event(&mut self, _now: f64, _id: usize) {}

    fn record_end(&mut self, _now: f64, id: usize) {
        for n in self.assigned.remove(&id).unwrap_or_default() {
            self.in_flight[n] -= 1;
        }
    }
}

/// Result of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) first_event_ms: Option<f64>,
    pub(crate) longest_pause_ms: f64,
    pub(crate) completed: bool,
    pub(crate) refused: bool,
    /// Time from the arrival until the request was refused or its caller gave up.
    pub(crate) held_ms: f64,
    last_event: f64,
}

struct Running {
    engine_index: usize,
    parts_left: usize,
    /// Other engines that hold a part of the prompt in memory.
    holders: Vec<usize>,
}

/// Runs until all requests have ended; returns their results in order.
pub(crate) fn simulate(
    requests: &[Request],
    engines: usize,
    placer: &mut dyn Placer,
) -> Vec<Outcome> {
    simulate_with_slowdown(requests, engines, &|_, _| 1.0, placer)
}

/// Like [`simulate`], with a factor on the pass duration that depends on the time and the engine.
pub(crate) fn simulate_with_slowdown(
    requests: &[Request],
    engines: usize,
    slowdown: &dyn Fn(f64, usize) -> f64,
    placer: &mut dyn Placer,
) -> Vec<Outcome> {
    simulate_with_profile(requests, engines, &profile(), slowdown, placer)
}

/// Like [`simulate_with_profile`], with callers that give up, and that retry once after a rejection. Returns all
/// requests with their outcomes; the repeated ones follow the others.
pub(crate) fn simulate_with_callers(
    requests: &[Request],
    engines: usize,
    profile: &EngineProfile,
    placer: &mut dyn Placer,
) -> (Vec<Request>, Vec<Outcome>) {
    let mut requests = requests.to_vec();
    let outcomes = run(&mut requests, engines, profile, &|_, _| 1.0, placer, true);
    (requests, outcomes)
}

/// Like [`simulate_with_slowdown`], on engines with another profile.
pub(crate) fn simulate_with_profile(
    requests: &[Request],
    engines: usize,
    profile: &EngineProfile,
    slowdown: &dyn Fn(f64, usize) -> f64,
    placer: &mut dyn Placer,
) -> Vec<Outcome> {
    let mut requests = requests.to_vec();
    run(&mut requests, engines, profile, slowdown, placer, false)
}

fn run(
    requests: &mut Vec<Request>,
    engines: usize,
    profile: &EngineProfile,
    slowdown: &dyn Fn(f64, usize) -> f64,
    placer: &mut dyn Placer,
    callers_react: bool,
) -> Vec<Outcome> {
    let mut sims = vec![EngineSim::new(profile.clone()); engines];
    let mut outcomes = vec![Outcome::default(); requests.len()];
    let mut running: HashMap<usize, Running> = HashMap::new();
    let mut arrivals: VecDeque<_> = (0..requests.len()).collect();
    // Requests without a first event, by the time at which their callers give up.
    let mut unanswered: Vec<usize> = Vec::new();
    let mut now = 0.0;
    let mut next_round_at = 0.0;
    let last = requests.last().map_or(0.0, |req| req.at) + 30_000.0;
    // Current pass of each engine: its end and what it completes.
    let mut passes: Vec<Option<(f64, Vec<PassResult>)>> = vec![None; engines];
    while now < last {
        for engine in 0..engines {
            if passes[engine].is_none() && !sims[engine].is_idle() {
                sims[engine].slowdown = slowdown(now, engine);
                passes[engine] = Some(sims[engine].run_pass(now));
            }
        }
        let pass_end = passes
            .iter()
            .flatten()
            .map(|(end, _)| *end)
            .fold(f64::INFINITY, f64::min);
        let arrival = arrivals
            .front()
            .map_or(f64::INFINITY, |id| requests[*id].at);
        now = pass_end.min(arrival).min(next_round_at);
        let mut decided = Vec::new();
        if arrival <= now
            && let Some(id) = arrivals.pop_front()
        {
            decided.push((id, placer.submit(now, id, &requests[id])));
            unanswered.push(id);
        }
        for pass in &mut passes {
            let Some((_, done)) = pass.take_if(|(end, _)| *end <= now) else {
                continue;
            };
            for result in done {
                record_result(
                    result,
                    now,
                    requests,
                    &mut outcomes,
                    &mut running,
                    &mut sims,
                    placer,
                );
            }
            decided.extend(placer.schedule_waiting(now));
        }
        if next_round_at <= now {
            next_round_at = now + SCHEDULING_INTERVAL_MS;
            if callers_react {
                unanswered
                    .retain(|id| !outcomes[*id].refused && outcomes[*id].first_event_ms.is_none());
                for id in &unanswered {
                    let req = &requests[*id];
                    if now - req.at < req.kind.patience_ms() || outcomes[*id].held_ms > 0.0 {
                        continue;
                    }
                    outcomes[*id].held_ms = now - req.at;
                    placer.record_cancel(now, *id);
                    running.remove(id);
                    sims.iter_mut().for_each(|sim| sim.cancel(*id));
                }
                unanswered.retain(|id| outcomes[*id].held_ms == 0.0);
            }
            decided.extend(placer.schedule_waiting(now));
        }
        for (id, decision) in decided {
            match decision {
                Decision::Run(grant) => {
                    let size = grant.size();
                    let engine_index = engine_number(&grant.engine);
                    running.insert(
                        id,
                        Running {
                            engine_index,
                            parts_left: size,
                            holders: if grant.reserve_tokens.is_some() {
                                grant.helpers.iter().map(engine_number).collect()
                            } else {
                                Vec::new()
                            },
                        },
                    );
                    for part in grant.engines() {
                        sims[engine_number(part)].add_prefill(
                            id,
                            requests[id].prompt,
                            1.0 / size as f64,
                        );
                    }
                }
                Decision::Refuse { retry_after_ms } => {
                    outcomes[id].refused = true;
                    outcomes[id].held_ms = now - requests[id].at;
                    if callers_react && requests[id].retry_of.is_none() {
                        let left = requests[id].deadline() - now;
                        let wait_ms = retry_after_ms.max(MIN_RETRY_AFTER_MS).min(left / 3.0);
                        let retry = Request {
                            at: now + wait_ms,
                            retry_of: Some(id),
                            earlier_ms: now + wait_ms - requests[id].at,
                            ..requests[id]
                        };
                        let at = arrivals.partition_point(|id| requests[*id].at <= retry.at);
                        arrivals.insert(at, requests.len());
                        requests.push(retry);
                        outcomes.push(Outcome::default());
                    }
                }
                Decision::Wait => {}
            }
        }
    }
    outcomes
}

fn record_result(
    result: PassResult,
    now: f64,
    requests: &[Request],
    outcomes: &mut [Outcome],
    running: &mut HashMap<usize, Running>,
    sims: &mut [EngineSim],
    placer: &mut dyn Placer,
) {
    match result {
        PassResult::PartPrefilled(id) => {
            let Some(request) = running.get_mut(&id) else {
                return;
            };
            request.parts_left -= 1;
            if request.parts_left == 0 {
                let holders = request.holders.len();
                let context = requests[id].prompt / (holders + 1) as f64;
                sims[request.engine_index].start_decode(id, context, requests[id].answer, holders);
                for holder in &request.holders {
                    sims[*holder].hold(id, context);
                }
            }
        }
        PassResult::Event(id) | PassResult::Ended(id) if !running.contains_key(&id) => {}
        PassResult::Event(id) | PassResult::Ended(id) => {
            let outcome = &mut outcomes[id];
            if outcome.first_event_ms.is_none() {
                outcome.first_event_ms = Some(now - requests[id].at);
                placer.record_first_event(now, id);
            } else {
                outcome.longest_pause_ms = outcome.longest_pause_ms.max(now - outcome.last_event);
            }
            outcome.last_event = now;
            if matches!(result, PassResult::Ended(_)) {
                outcome.completed = now <= requests[id].deadline();
                placer.record_end(now, id);
                for holder in running
                    .remove(&id)
                    .into_iter()
                    .flat_map(|request| request.holders)
                {
                    sims[holder].release(id);
                }
            }
        }
    }
}

/// Statistics over requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutcomeStats {
    pub(crate) submitted: usize,
    pub(crate) on_time: usize,
    pub(crate) served: usize,
    /// Prompt tokens of the requests that met objective, pause and deadline, and of all.
    on_time_tokens: f64,
    tokens: f64,
    first_event_times: Vec<f64>,
}

impl OutcomeStats {
    /// Computes the statistics of the requests of one kind, or of all.
    pub(crate) fn new(requests: &[Request], outcomes: &[Outcome], kind: Option<&str>) -> Self {
        let mut stats = Self::default();
        for (req, outcome) in requests.iter().zip(outcomes) {
            if kind.is_some_and(|name| name != req.kind.name) {
                continue;
            }
            let on_time = outcome.completed
                && outcome
                    .first_event_ms
                    .is_some_and(|ms| ms <= req.kind.objective_ms)
                && outcome.longest_pause_ms <= req.kind.pause_ms;
            stats.submitted += 1;
            stats.on_time += usize::from(on_time);
            stats.served += usize::from(outcome.completed);
            stats.tokens += req.prompt;
            stats.on_time_tokens += if on_time { req.prompt } else { 0.0 };
            stats
                .first_event_times
                .push(outcome.first_event_ms.unwrap_or(f64::INFINITY));
        }
        stats.first_event_times.sort_by(f64::total_cmp);
        stats
    }

    /// Adds the statistics of another run.
    pub(crate) fn add(&mut self, other: &Self) {
        self.submitted += other.submitted;
        self.on_time += other.on_time;
        self.served += other.served;
        self.on_time_tokens += other.on_time_tokens;
        self.tokens += other.tokens;
        self.first_event_times.extend(&other.first_event_times);
        self.first_event_times.sort_by(f64::total_cmp);
    }

    /// Share of the requests that met objective, pause and deadline.
    pub(crate) fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.submitted as f64
    }

    /// Share of the requests that were answered before their deadline.
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.submitted as f64
    }

    /// Share of the prompt tokens whose requests met objective, pause and deadline: unlike the share of the requests, it
    /// depends mostly on the long ones.
    pub(crate) fn on_time_token_share(&self) -> f64 {
        self.on_time_tokens / self.tokens
    }

    /// Whether callers got more in time than with `baseline`, by number and by tokens.
    pub(crate) fn is_better_than(&self, baseline: &Self) -> bool {
        self.on_time_share() > baseline.on_time_share()
            && self.on_time_token_share() > baseline.on_time_token_share()
    }

    /// Percentile of the time to the first event, with `share` from 0 to 1.
    pub(crate) fn first_event_ms(&self, share: f64) -> f64 {
        let at = (self.first_event_times.len() as f64 * share) as usize;
        self.first_event_times
            .get(at.min(self.first_event_times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    }
}

//! [`SchedulerHost`].

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleanderpost_types::VmId;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{
    BootTime, DataCentreName, Decision, Deployment, Directory, HeldWork, LogRateLimiter, Scheduler,
    SchedulerMessage, ServiceName, UpstreamId, WorkId,
};

/// Pause between two looks at requests that wait, if nothing ends meanwhile.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(25);
/// Least pause between two such looks: under high load several requests end within it, and one look serves
/// for all. Small beside the shortest objective, 300 ms.
const MIN_SCHEDULING_GAP: Duration = Duration::from_millis(5);
/// Pause between two looks while nothing waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a sign of life after which a node's requests are dropped.
const NODE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Takes the decisions about requests that waited.
pub trait DecisionSink: Send + Sync {
    /// Passes a decision to the node that asked.
    fn deliver(&self, node: &VmId, id: WorkId, decision: Decision);
}

#[derive(Debug, Default)]
struct HostState {
    schedulers: HashMap<ServiceName, Scheduler>,
    last_seen: HashMap<VmId, Instant>,
}

/// Schedules for the nodes that ask: one [`Scheduler`] for each service with model engines.
pub struct SchedulerHost {
    state: Mutex<HostState>,
    started: Instant,
    stopped: AtomicBool,
    sink: Mutex<Option<Arc<dyn DecisionSink>>>,
    last_round_at: Mutex<Option<Instant>>,
    round_due: Notify,
    log: LogRateLimiter,
}

impl Default for SchedulerHost {
    fn default() -> Self {
        Self::new()
    }
}

impl SchedulerHost {
    /// A host that knows no service.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            started: Instant::now(),
            stopped: AtomicBool::new(false),
            sink: Mutex::new(None),
            last_round_at: Mutex::new(None),
            round_due: Notify::new(),
            log: LogRateLimiter::new(BootTime::now()),
        }
    }

    /// Sets who takes decisions about requests that waited.
    pub fn set_sink(&self, sink: Arc<dyn DecisionSink>) {
        *self.sink.lock().unwrap_or_else(PoisonError::into_inner) = Some(sink);
    }

    /// Stops scheduling for other nodes.
    pub fn stop_serving(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Takes in the services and engines that are known now.
    pub fn refresh(&self, deployment: &Deployment, directory: &Directory) {
        let mut state = self.lock();
        let with_engines = deployment
            .services()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)));
        for (name, profile) in with_engines {
            let scheduler = state.schedulers.entry(name.clone());
            let scheduler = scheduler.or_insert_with(|| Scheduler::new(profile.clone()));
            scheduler.set_profile(profile.clone());
            let usable: Vec<(UpstreamId, DataCentreName)> = directory
                .usable(name)
                .map(|u| (u.id.clone(), u.data_centre.clone()))
                .collect();
            scheduler.set_engines(usable);
        }
        drop(state);
        self.schedule_soon();
    }

    /// Handles a message of the node `from`; `own` tells that it is this node itself.
    pub fn handle(
        &self,
        from: &VmId,
        msg: SchedulerMessage,
        local: bool,
    ) -> Option<SchedulerMessage> {
        if self.stopped.load(Ordering::Acquire) && !local {
            return Some(SchedulerMessage::NotServing);
        }
        let now = self.now();
        let mut state = self.lock();
        state.last_seen.insert(from.clone(), Instant::now());
        match msg {
            SchedulerMessage::Submit { service, work } => {
                let id = work.id;
                let (prompt, deadline_ms) = (work.prompt, work.deadline_ms);
                let Some(scheduler) = state.schedulers.get_mut(&service) else {
                    return Some(SchedulerMessage::NotServing);
                };
                let decision = scheduler.submit(now, from, work);
                if !matches!(decision, Decision::Run(_)) && self.log.try_take(BootTime::now()) {
                    log_unplaced(scheduler, now, from, (id, prompt, deadline_ms), &decision);
                }
                if decision == Decision::Wait {
                    self.round_due.notify_one();
                }
                Some(SchedulerMessage::Decided { id, decision })
            }
            SchedulerMessage::FirstEvent { service, id } => {
                if let Some(scheduler) = state.schedulers.get_mut(&service) {
                    scheduler.note_first_event(now, id);
                }
                drop(state);
                self.schedule_soon();
                None
            }
            SchedulerMessage::Ended { service, id, end } => {
                if let Some(scheduler) = state.schedulers.get_mut(&service) {
                    scheduler.note_end(now, id, end);
                }
                drop(state);
                self.schedule_soon();
                None
            }
            SchedulerMessage::Heartbeat { ids } => {
                Some(answer_heartbeat(&mut state, now, from, &ids))
            }
            SchedulerMessage::Adopt { held } => {
                adopt(&mut state, now, from, &held);
                None
            }
            SchedulerMessage::Decided { .. }
            | SchedulerMessage::NotServing
            | SchedulerMessage::HeartbeatReply { .. }
            | SchedulerMessage::AskState
            | SchedulerMessage::State { .. } => None,
        }
    }

    /// Reviews waiting requests and drops those of silent nodes, for ever.
    pub async fn run(&self) {
        loop {
            let interval = if self.counts().0 > 0 {
                SCHEDULING_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            // A review that is due before the pause is over is the usual case under load.
            let _ = timeout(interval, self.round_due.notified()).await;
            sleep(self.until_next_round()).await;
            self.remove_silent_nodes();
            if let Some(lines) = self.log.take_suppressed(BootTime::now()) {
                spdlog::warn!("log lines about placements suppressed by the rate limit", kv: { lines });
            }
            // An end may have led to a review meanwhile.
            if self.until_next_round().is_zero() {
                self.schedule_waiting();
            }
        }
    }

    /// Number of requests that wait and that are placed.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        let waiting = state.schedulers.values().map(Scheduler::waiting).sum();
        let placed = state.schedulers.values().map(Scheduler::placed).sum();
        (waiting, placed)
    }

    /// Number of times that an engine was sought for a request, since the start.
    #[must_use]
    pub fn searches(&self) -> u64 {
        self.lock()
            .schedulers
            .values()
            .map(Scheduler::searches)
            .sum()
    }

    fn remove_silent_nodes(&self) {
        let now = self.now();
        let mut state = self.lock();
        let silent: Vec<VmId> = state
            .last_seen
            .iter()
            .filter(|(_, at)| at.elapsed() > NODE_TIMEOUT)
            .map(|(node, _)| node.clone())
            .collect();
        for node in silent {
            state.last_seen.remove(&node);
            for scheduler in state.schedulers.values_mut() {
                scheduler.remove_node(now, &node);
            }
            spdlog::info!("dropped the requests of a silent node", kv: { node: = node });
        }
    }

    /// Reviews at once, or after the least pause since the last review.
    fn schedule_soon(&self) {
        if self.counts().0 == 0 {
            return;
        }
        if self.until_next_round().is_zero() {
            self.schedule_waiting();
        } else {
            self.round_due.notify_one();
        }
    }

    /// Time until the next review may take place.
    fn until_next_round(&self) -> Duration {
        let last = *self
            .last_round_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last.map_or(Duration::ZERO, |last| {
            MIN_SCHEDULING_GAP.saturating_sub(last.elapsed())
        })
    }

    fn schedule_waiting(&self) {
        let now = self.now();
        *self
            .last_round_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        let mut decided = Vec::new();
        for scheduler in self.lock().schedulers.values_mut() {
            if scheduler.waiting() > 0 {
                decided.extend(scheduler.schedule_waiting(now));
            }
        }
        let sink = self
            .sink
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let Some(sink) = sink else {
            return;
        };
        for (node, id, decision) in decided {
            sink.deliver(&node, id, decision);
        }
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Notes what was not granted at once, with what the scheduler knew.
fn log_unplaced(
    scheduler: &Scheduler,
    now: f64,
    node: &VmId,
    (id, prompt, deadline_ms): (WorkId, f64, f64),
    decision: &Decision,
) {
    let (name, retry_after_ms) = match decision {
        Decision::Refuse { retry_after_ms } => ("work refused", *retry_after_ms),
        _ => ("work waits", 0.0),
    };
    let idle = scheduler.engines().filter(|(_, load)| load.is_empty());
    spdlog::info!("{name}", kv: {
        work: = id, node: = node, prompt = prompt as u64, deadline_ms = deadline_ms as u64,
        retry_after_ms = retry_after_ms as u64, first_free_ms = scheduler.first_free_ms(now) as u64,
        waiting = scheduler.waiting(), placed = scheduler.placed(), engines = scheduler.engines().count(),
        idle = idle.count()
    });
}

fn answer_heartbeat(
    state: &mut HostState,
    now: f64,
    from: &VmId,
    ids: &[WorkId],
) -> SchedulerMessage {
    let mut unknown = ids.to_vec();
    for scheduler in state.schedulers.values_mut() {
        scheduler.retain_reported(now, from, ids);
        unknown.retain(|id| !scheduler.contains(*id));
    }
    let nodes = state.last_seen.len();
    SchedulerMessage::HeartbeatReply {
        unknown,
        nodes,
        evidence: None,
    }
}

fn adopt(state: &mut HostState, now: f64, from: &VmId, held: &[HeldWork]) {
    for held in held {
        if let Some(scheduler) = state.schedulers.get_mut(&held.service) {
            scheduler.adopt(now, from, &held.work, &held.engine, held.started);
        }
    }
}

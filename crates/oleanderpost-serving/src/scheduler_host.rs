//! [`SchedulerHost`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleanderpost_types::VmId;
use rand::{RngExt, seq::IteratorRandom};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{
    BootTime, ColdUpstream, CrashLedger, CrashWatch, Decision, EngineLimit, Grant, HeldWork,
    LogRateLimiter, Quarantine, RequestCrash, RequestLimiter, RequestRate, RequestVerdicts,
    RetryPools, RetryTotals, Scheduler, SchedulerMessage, ServiceName, ServingConfig, SignalTable,
    SignalVersion, SlowEngine, SlowEngineChanges, Upstream, UpstreamDirectory, UpstreamId, WorkId,
    boot_clock::BootClock, recent_maximum::RecentMaximum, slow_engine_table::SlowEngineTable,
};

/// Interval between scheduling rounds while requests are waiting and none ends.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum time between scheduling rounds. Under high load several requests end within it, and one round
/// serves them all. Small compared with the shortest objective of 300 ms.
const MIN_SCHEDULING_GAP: Duration = Duration::from_millis(5);
/// Minimum time between scheduling rounds as a multiple of the duration of the last one, so that the search for
/// engines leaves most of a small VM's core to the requests themselves.
const SCHEDULING_GAP_FACTOR: u32 = 8;
/// Interval between rounds while no request is waiting.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without messages after which the requests of a node are dropped.
const NODE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which the largest known size of the fleet counts. Longer than a node takes to restart, so that nodes
/// that have just lost their scheduler do not each take the whole limit of an upstream.
const FLEET_SIZE_WINDOW: Duration = Duration::from_secs(30);

/// Time for which a node must have sent messages without a longer pause until it counts for the limits of
/// upstreams here, and after which a silent one no longer counts: two heartbeats and the delay of their replies. While
/// nodes change from one scheduler to another, neither counts them, so that both together keep to the limit.
const LIMIT_SHARE_DELAY: Duration = Duration::from_millis(1_100);
/// Interval between checks of that share while upstreams limit their requests or are cold.
const LIMIT_SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a request for a cold upstream may be repeated whose limit is not known here yet.
const UNKNOWN_LIMIT_WAIT_MS: f64 = 50.0;

/// Retry budget while none is set.
const NO_RETRIES: RetryTotals = RetryTotals {
    ratio: 0.0,
    slack: 0.0,
    window: Duration::from_secs(10),
};

/// Minimum time between two announcements of requests that crash upstreams; heartbeats carry what is left out.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of relays named to a node; the next heartbeat names others.
const MAX_RELAYS: usize = 4;

/// Time for which a measured speed of an engine is told to nodes and to new schedulers, in milliseconds. Once it is no
/// longer valid, the engine is probed with one request.
const SLOW_ENGINE_TTL_MS: f64 = 30_000.0;
/// Largest factor that is accepted from other nodes. An engine that is slower serves no request in time.
const MAX_SLOW_FACTOR: f64 = 1_000.0;
/// Maximum number of slow engines that are told to a node or accepted from one; more than there are in the largest
/// deployment.
const MAX_SLOW_ENGINES: usize = 256;

/// Delivers decisions about requests that had to wait, and news about requests that crash upstreams.
pub trait DecisionSink: Send + Sync {
    /// Delivers a decision to the node that submitted the request.
    fn deliver(&self, node: &VmId, id: WorkId, decision: Decision);

    /// Tells a node which requests crash upstreams.
    fn announce(&self, node: &VmId, verdicts: &RequestVerdicts);
}

#[derive(Debug, Default)]
struct HostState {
    schedulers: HashMap<ServiceName, Scheduler>,
    /// Ledgers of services that are not in the configuration yet, filled by other nodes.
    early_ledgers: HashMap<ServiceName, CrashLedger>,
    last_seen: HashMap<VmId, Instant>,
    /// When the nodes in `last_seen` sent their first message since the last pause of [`LIMIT_SHARE_DELAY`].
    joined: HashMap<VmId, Instant>,
    /// Limits that upstreams state on their requests from all nodes together.
    limits: HashMap<UpstreamId, RequestRate>,
    /// Share of the limits of upstreams that applies to the nodes served here.
    limit_share: f64,
    /// Upstreams that are cold.
    cold: HashMap<UpstreamId, RequestRate>,
    /// Addresses at which nodes accept relayed requests.
    relays: HashMap<VmId, SocketAddr>,
    /// Quarantines that have been logged.
    logged_quarantines: Vec<Quarantine>,
    /// Limiters of upstreams that no scheduler places requests on.
    plain_limiters: HashMap<UpstreamId, RequestLimiter>,
    /// Speeds of engines that nodes have been told.
    slow_engine_table: SlowEngineTable,
    /// Speeds of engines that are not in the directory yet, with the times of their measurement.
    early_slow_engines: Vec<(f64, SlowEngine)>,
}

impl HostState {
    /// Whether any upstream limits its requests or is cold.
    fn has_limits(&self) -> bool {
        !self.limits.is_empty() || !self.cold.is_empty()
    }

    /// Limiter of an upstream that no scheduler places requests on, if its requests are limited.
    fn plain_limiter(&mut self, now: f64, id: &UpstreamId) -> Option<&mut RequestLimiter> {
        let limit = self.limit(id)?;
        let limiter = self.plain_limiters.entry(id.clone());
        Some(
            limiter.or_insert_with(|| {
                RequestLimiter::new(now, limit.rate).with_phase(now, limit.phase)
            }),
        )
    }

    /// Limit on the requests to the upstream from the nodes that are served here: the lower of the limit that it
    /// states and the one that holds while it is cold.
    fn limit(&self, id: &UpstreamId) -> Option<EngineLimit> {
        let stated = self.limits.get(id);
        let stated = stated.map(|limit| EngineLimit::new(limit.scaled(self.limit_share)));
        let Some(cold) = self.cold.get(id) else {
            return stated;
        };
        let cold = EngineLimit {
            phase: if self.limit_share < 1.0 {
                rand::rng().random()
            } else {
                1.0
            },
            cold: true,
            ..EngineLimit::new(cold.scaled(self.limit_share))
        };
        match stated {
            Some(stated) if stated.rate < cold.rate => Some(EngineLimit {
                cold: true,
                ..stated
            }),
            _ => Some(cold),
        }
    }
}

/// A scheduling round that has ended.
#[derive(Clone, Copy, Debug)]
struct Round {
    started: Instant,
    duration: Duration,
}

/// Schedules requests for other nodes, with one [`Scheduler`] for each service that has model engines.
pub struct SchedulerHost {
    state: Mutex<HostState>,
    started: Instant,
    stopped: AtomicBool,
    sink: Mutex<Option<Arc<dyn DecisionSink>>>,
    last_round: Mutex<Option<Round>>,
    round_due: Notify,
    log_limiter: LogRateLimiter,
    fleet_size: Mutex<RecentMaximum>,
    clock: BootClock,
    retries: Mutex<RetryPools>,
    crash_watch: CrashWatch,
    last_announcement: Mutex<Option<Instant>>,
}

impl Default for SchedulerHost {
    fn default() -> Self {
        Self::new()
    }
}

impl SchedulerHost {
    /// Creates a host without services.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Mutex::new(HostState {
                slow_engine_table: SlowEngineTable::new(rand::random()),
                ..HostState::default()
            }),
            started: Instant::now(),
            stopped: AtomicBool::new(false),
            sink: Mutex::new(None),
            last_round: Mutex::new(None),
            round_due: Notify::new(),
            log_limiter: LogRateLimiter::new(BootTime::now()),
            fleet_size: Mutex::new(RecentMaximum::new(FLEET_SIZE_WINDOW)),
            clock: BootClock::new(),
            retries: Mutex::new(RetryPools::new(NO_RETRIES)),
            crash_watch: CrashWatch::new(),
            last_announcement: Mutex::default(),
        }
    }

    /// Sets the retry budget of the whole fleet. Without it, no retries are granted.
    #[must_use]
    pub fn with_retry_totals(self, totals: RetryTotals) -> Self {
        self.lock_retries().set_totals(totals);
        self
    }

    /// Replaces the nodes that may schedule for all.
    pub fn set_seeds(&self, seeds: &[VmId]) {
        self.lock_retries().set_seeds(seeds);
    }

    /// Records that this node has just started; it has `share` of the fleet.
    pub(crate) fn note_start(&self, share: f64) {
        let now = self.clock.now();
        self.lock_retries().note_start(share, now);
    }

    /// Records requests of callers of nodes that are served here.
    pub(crate) fn note_requests(&self, service: &ServiceName, requests: u64) {
        let now = self.clock.now();
        self.lock_retries().note_requests(service, requests, now);
    }

    /// Takes one retry from the budget of the fleet; returns `false` if none is left.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        self.lock_retries().take(service, now)
    }

    fn lock_retries(&self) -> std::sync::MutexGuard<'_, RetryPools> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the sink for decisions about waiting requests, and for news about requests that crash upstreams.
    pub fn set_sink(&self, sink: Arc<dyn DecisionSink>) {
        *self.sink.lock().unwrap_or_else(PoisonError::into_inner) = Some(sink);
    }

    /// Requests that crash upstreams.
    #[must_use]
    pub fn crash_watch(&self) -> &CrashWatch {
        &self.crash_watch
    }

    /// Tells all nodes which requests crash upstreams, if that has changed and was not announced just now; returns it.
    fn announce(&self, (verdicts, has_changed): (RequestVerdicts, bool)) -> RequestVerdicts {
        if has_changed
            && self.may_announce()
            && let Some(sink) = self.sink()
        {
            let nodes: Vec<VmId> = self.lock().last_seen.keys().cloned().collect();
            for node in nodes {
                sink.announce(&node, &verdicts);
            }
        }
        verdicts
    }

    fn may_announce(&self) -> bool {
        let last = self.last_announcement.lock();
        let mut last = last.unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|at| at.elapsed() >= MIN_ANNOUNCE_INTERVAL);
        if is_due {
            *last = Some(Instant::now());
        }
        is_due
    }

    fn sink(&self) -> Option<Arc<dyn DecisionSink>> {
        let sink = self.sink.lock().unwrap_or_else(PoisonError::into_inner);
        sink.clone()
    }

    /// Stops scheduling for other nodes; requests of this node are still scheduled.
    pub fn stop_serving(&self) {
        self.stopped.store(true, Ordering::Release);
        self.lock_retries().stop_serving();
    }

    /// Updates services and engines from the current configuration and directory.
    pub fn refresh(&self, config: &ServingConfig, directory: &UpstreamDirectory) {
        let mut state = self.lock();
        let HostState {
            schedulers,
            early_ledgers,
            early_slow_engines,
            ..
        } = &mut *state;
        let with_engines = config
            .services()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)));
        for (name, profile) in with_engines {
            let scheduler = schedulers.entry(name.clone()).or_insert_with(|| {
                let ledger = early_ledgers.remove(name).unwrap_or_default();
                Scheduler::new(profile.clone()).with_crash_ledger(ledger)
            });
            scheduler.set_profile(profile.clone());
            let engine = |u: &Arc<Upstream>| (u.id.clone(), u.data_centre.clone());
            let usable = directory.usable(name).map(engine);
            let evacuated = directory.evacuated_upstreams(name).map(engine);
            scheduler.set_engines_with_evacuated(usable, evacuated);
            scheduler.set_started_at(|id| directory.get(id)?.started_at);
            early_slow_engines
                .retain(|(measured_at, engine)| !scheduler.learn_slow_engine(*measured_at, engine));
        }
        self.update_limits(&mut state);
        drop(state);
        self.lock_retries()
            .retain(|name| config.service(name).is_some());
        self.schedule_soon();
    }

    /// Updates the limits that upstreams state on their requests.
    pub fn refresh_limits(&self, directory: &UpstreamDirectory, signals: &SignalTable) {
        let upstreams = directory.ids().filter_map(|id| directory.get(id));
        let limits = upstreams.filter_map(|u| Some((u.id.clone(), signals.limit(u)?)));
        let mut state = self.lock();
        state.limits = limits.collect();
        self.update_limits(&mut state);
        drop(state);
        self.schedule_soon();
    }

    /// Replaces the set of cold upstreams.
    pub fn refresh_cold(&self, cold: &[ColdUpstream]) {
        let cold: HashMap<_, _> = cold.iter().map(|u| (u.id.clone(), u.limit)).collect();
        let mut state = self.lock();
        if state.cold == cold {
            return;
        }
        state.cold = cold;
        self.update_limits(&mut state);
        drop(state);
        self.schedule_soon();
    }

    /// Records the number of nodes in the fleet, of which this host may serve only some.
    pub fn note_fleet_size(&self, nodes: usize) {
        let mut fleet_size = self
            .fleet_size
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fleet_size.note(nodes);
    }

    /// Share of the limits of upstreams that applies to the nodes served here. Nodes that have just come or are about to
    /// go don't count, so that two schedulers never serve the share of the same node.
    fn limit_share(&self, state: &HostState) -> f64 {
        let is_settled = |(node, at): &(&VmId, &Instant)| {
            let joined = state.joined.get(*node);
            at.elapsed() <= LIMIT_SHARE_DELAY
                && joined.is_some_and(|at| at.elapsed() >= LIMIT_SHARE_DELAY)
        };
        let served = if self.stopped.load(Ordering::Acquire) {
            1
        } else {
            state.last_seen.iter().filter(is_settled).count().max(1)
        };
        self.share_of_fleet(served, state.last_seen.len())
    }

    /// Share of `served` nodes in the fleet, which has at least `known` nodes.
    fn share_of_fleet(&self, served: usize, known: usize) -> f64 {
        let fleet_size = self
            .fleet_size
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .value();
        served as f64 / fleet_size.max(known).max(served) as f64
    }

    /// Applies the limits to schedulers and limiters, reduced to the share of the nodes that are served here.
    fn update_limits(&self, state: &mut HostState) {
        let now = self.now();
        state.limit_share = self.limit_share(state);
        let mut plain_limiters = std::mem::take(&mut state.plain_limiters);
        plain_limiters.retain(|id, _| state.limit(id).is_some());
        for (id, limiter) in &mut plain_limiters {
            if let Some(limit) = state.limit(id) {
                limiter.set_rate(now, limit.rate);
            }
        }
        state.plain_limiters = plain_limiters;
        let mut schedulers = std::mem::take(&mut state.schedulers);
        for scheduler in schedulers.values_mut() {
            scheduler.set_engine_limits(now, |id| state.limit(id));
        }
        state.schedulers = schedulers;
    }

    /// Takes the permission to send one request to a cold upstream from this node's own share of the limit, for nodes
    /// whose scheduler does not keep to it.
    ///
    /// # Errors
    ///
    /// The time in milliseconds after which a retry makes sense.
    pub fn take_own_share(&self, upstream: &UpstreamId) -> std::result::Result<(), f64> {
        let wait_ms = self.own_share_wait_ms(upstream);
        if wait_ms > 0.0 {
            return Err(wait_ms);
        }
        let mut state = self.lock();
        if let Some(limiter) = state.plain_limiters.get_mut(upstream) {
            limiter.take(self.now());
        }
        Ok(())
    }

    /// Time until that share allows a request, in milliseconds.
    #[must_use]
    pub fn own_share_wait_ms(&self, upstream: &UpstreamId) -> f64 {
        let now = self.now();
        let mut state = self.lock();
        if !state.cold.contains_key(upstream) {
            return UNKNOWN_LIMIT_WAIT_MS;
        }
        state
            .plain_limiter(now, upstream)
            .map_or(UNKNOWN_LIMIT_WAIT_MS, |limiter| limiter.wait_ms(now))
    }

    /// Names the cold engines of a grant whose limits are kept to here.
    fn name_limited(state: &HostState, grant: &mut Grant) {
        let limited = grant.engines().filter(|id| state.cold.contains_key(*id));
        grant.limited = limited.cloned().collect();
    }

    /// Grants or refuses one request to an upstream that no scheduler places requests on.
    fn decide_permit(
        state: &mut HostState,
        now: f64,
        upstream: &UpstreamId,
        max_wait_ms: f64,
    ) -> SchedulerMessage {
        let Some(limiter) = state.plain_limiter(now, upstream) else {
            return SchedulerMessage::Permit {
                granted: true,
                wait_ms: 0.0,
                limited: false,
            };
        };
        let wait_ms = limiter.wait_ms(now);
        let granted = wait_ms <= max_wait_ms;
        if granted {
            limiter.take(now);
        }
        SchedulerMessage::Permit {
            granted,
            wait_ms,
            limited: true,
        }
    }

    /// Handles a message from the node `from`; `local` is set if that is this node.
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
        let seen_before = state.last_seen.insert(from.clone(), Instant::now());
        if seen_before.is_none_or(|at| at.elapsed() > LIMIT_SHARE_DELAY) {
            state.joined.insert(from.clone(), Instant::now());
        }
        if seen_before.is_none() {
            self.update_limits(&mut state);
        }
        match msg {
            SchedulerMessage::Submit { service, work } => {
                if !work.is_valid() {
                    return Some(SchedulerMessage::NotServing);
                }
                let id = work.id;
                let (prompt, deadline_ms) = (work.prompt, work.deadline_ms);
                let parts = work.parts.clone();
                let Some(scheduler) = state.schedulers.get_mut(&service) else {
                    return Some(SchedulerMessage::NotServing);
                };
                let mut decision = scheduler.submit(now, from, work);
                if !matches!(decision, Decision::Run(_))
                    && self.log_limiter.try_take(BootTime::now())
                {
                    if let Some(left_ms) = scheduler.crash_ledger().quarantine_left(now, &parts) {
                        spdlog::info!("work refused, its prompt crashes engines", kv: {
                            work: = id, node: = from, left_ms = left_ms as u64
                        });
                    } else {
                        let request = (id, prompt, deadline_ms);
                        log_not_placed(scheduler, now, from, request, &decision);
                    }
                }
                if decision == Decision::Wait {
                    self.round_due.notify_one();
                }
                if let Decision::Run(grant) = &mut decision {
                    Self::name_limited(&state, grant);
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
            SchedulerMessage::AskPermit {
                upstream,
                max_wait_ms,
            } => Some(Self::decide_permit(&mut state, now, &upstream, max_wait_ms)),
            SchedulerMessage::AskRetry { service, requests } => {
                drop(state);
                self.note_requests(&service, requests);
                let allowed = self.take_retry(&service);
                Some(SchedulerMessage::Retry { allowed })
            }
            SchedulerMessage::RequestCrashes { crashes } => {
                confirm_crashes(&mut state, now, &crashes);
                drop(state);
                let verdicts = self.announce(self.crash_watch.note_crashes(&crashes));
                Some(SchedulerMessage::RequestVerdicts { verdicts })
            }
            SchedulerMessage::SoundRequests { requests } => {
                drop(state);
                self.announce(self.crash_watch.note_sound(&requests));
                None
            }
            SchedulerMessage::Heartbeat {
                ids,
                quarantines,
                request_quarantines,
                request_crashes,
                slow_engines,
                slow_engines_seen,
                relay_address,
                used_ms,
                requests,
                ..
            } => {
                self.note_heartbeat(from, used_ms, &requests);
                match relay_address {
                    Some(address) => state.relays.insert(from.clone(), address),
                    None => state.relays.remove(from),
                };
                if !local {
                    learn_quarantines(&mut state, now, &quarantines);
                    self.crash_watch.learn(&request_quarantines);
                    learn_slow_engines(&mut state, now, &slow_engines);
                }
                let slow_engines = slow_engine_changes(&mut state, now, slow_engines_seen);
                let reply = reply_to_heartbeat(&mut state, now, from, &ids);
                confirm_crashes(&mut state, now, &request_crashes);
                drop(state);
                let verdicts = if request_crashes.is_empty() {
                    self.crash_watch.verdicts()
                } else {
                    self.announce(self.crash_watch.note_crashes(&request_crashes))
                };
                Some(
                    reply
                        .with_verdicts(verdicts)
                        .with_slow_engines(slow_engines),
                )
            }
            SchedulerMessage::Adopt { held } => {
                adopt(&mut state, now, from, &held);
                None
            }
            SchedulerMessage::Decided { .. }
            | SchedulerMessage::NotServing
            | SchedulerMessage::HeartbeatReply { .. }
            | SchedulerMessage::RequestVerdicts { .. }
            | SchedulerMessage::Signals { .. }
            | SchedulerMessage::Permit { .. }
            | SchedulerMessage::Retry { .. }
            | SchedulerMessage::AskChanges { .. }
            | SchedulerMessage::Changes { .. }
            | SchedulerMessage::AskState
            | SchedulerMessage::State { .. } => None,
        }
    }

    fn note_heartbeat(&self, from: &VmId, used_ms: f64, requests: &[(ServiceName, u64)]) {
        // Another node's value may be out of range.
        let used_for = Duration::try_from_secs_f64(used_ms / 1e3).unwrap_or_default();
        let now = self.clock.now();
        let mut retries = self.lock_retries();
        retries.note_heartbeat(from, used_for, now);
        for (service, requests) in requests {
            retries.note_requests(service, *requests, now);
        }
    }

    /// Runs scheduling rounds and drops the requests of silent nodes; never returns.
    pub async fn run(&self) {
        loop {
            let interval = if self.counts().0 > 0 {
                SCHEDULING_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            let interval = if self.lock().has_limits() {
                interval.min(LIMIT_SHARE_INTERVAL)
            } else {
                interval
            };
            // Under load a round is usually requested before the interval is over.
            let _ = timeout(interval, self.round_due.notified()).await;
            sleep(self.until_next_round()).await;
            self.remove_silent_nodes();
            self.lock_retries().update_share(self.clock.now());
            self.log_quarantines();
            self.crash_watch.log_changes();
            if let Some(lines) = self.log_limiter.take_suppressed(BootTime::now()) {
                spdlog::warn!("log lines about placements suppressed by the rate limit", kv: { lines });
            }
            // The end of a request may have started a round in the meantime.
            if self.until_next_round().is_zero() {
                self.schedule_waiting();
            }
        }
    }

    /// Numbers of waiting and of placed requests.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        let waiting = state.schedulers.values().map(Scheduler::waiting).sum();
        let placed = state.schedulers.values().map(Scheduler::placed).sum();
        (waiting, placed)
    }

    /// Total number of searches for an engine.
    #[must_use]
    pub fn searches(&self) -> u64 {
        self.lock()
            .schedulers
            .values()
            .map(Scheduler::searches)
            .sum()
    }

    /// Logs the quarantines that have begun or ended.
    fn log_quarantines(&self) {
        let now = self.now();
        let mut state = self.lock();
        let current = quarantines(&state, now);
        let is_in = |list: &[Quarantine], q: &Quarantine| {
            let same = |other: &Quarantine| other.service == q.service && other.parts == q.parts;
            list.iter().any(same)
        };
        for began in current
            .iter()
            .filter(|q| !is_in(&state.logged_quarantines, q))
        {
            spdlog::warn!("quarantined prompt parts that crash engines", kv: { quarantine: = began });
        }
        for ended in state
            .logged_quarantines
            .iter()
            .filter(|q| !is_in(&current, q))
        {
            spdlog::info!("quarantine of prompt parts ended", kv: { quarantine: = ended });
        }
        state.logged_quarantines = current;
    }

    /// Parts of prompts that crash engines.
    #[must_use]
    pub fn quarantines(&self) -> Vec<Quarantine> {
        quarantines(&self.lock(), self.now())
    }

    /// Replaces what was learned from other nodes about parts of prompts that crash engines.
    pub fn replace_quarantines(&self, quarantines: &[Quarantine]) {
        let now = self.now();
        let mut state = self.lock();
        for (_, ledger) in ledgers(&mut state) {
            ledger.forget_learned();
        }
        learn_quarantines(&mut state, now, quarantines);
    }

    /// Engines that were slow when last measured, for a scheduler that does not know them.
    #[must_use]
    pub fn slow_engines(&self) -> Vec<SlowEngine> {
        slow_engines(&self.lock(), self.now())
    }

    /// Adopts the speeds of engines that another node's scheduler measured.
    pub fn learn_slow_engines(&self, engines: &[SlowEngine]) {
        let now = self.now();
        learn_slow_engines(&mut self.lock(), now, engines);
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
            state.joined.remove(&node);
            state.relays.remove(&node);
            for scheduler in state.schedulers.values_mut() {
                scheduler.remove_node(now, &node);
            }
            spdlog::info!("dropped the requests of a silent node", kv: { node: = node });
        }
        if state.has_limits() && self.limit_share(&state) != state.limit_share {
            self.update_limits(&mut state);
        }
    }

    /// Runs a scheduling round now, or as soon as [`MIN_SCHEDULING_GAP`] has passed since the last one.
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

    /// Remaining time until another scheduling round may run.
    fn until_next_round(&self) -> Duration {
        let last = *self
            .last_round
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last.map_or(Duration::ZERO, |last| {
            let gap = MIN_SCHEDULING_GAP.max(last.duration * SCHEDULING_GAP_FACTOR);
            gap.saturating_sub(last.started.elapsed())
        })
    }

    fn schedule_waiting(&self) {
        let now = self.now();
        let started = Instant::now();
        let mut decisions = Vec::new();
        let mut state = self.lock();
        for scheduler in state.schedulers.values_mut() {
            if scheduler.waiting() > 0 {
                decisions.extend(scheduler.schedule_waiting(now));
            }
        }
        for (_, _, decision) in &mut decisions {
            if let Decision::Run(grant) = decision {
                Self::name_limited(&state, grant);
            }
        }
        drop(state);
        let round = Round {
            started,
            duration: started.elapsed(),
        };
        *self
            .last_round
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(round);
        let Some(sink) = self.sink() else {
            return;
        };
        for (node, id, decision) in decisions {
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

/// Logs a request that was not placed at once, with the scheduler state behind the decision.
fn log_not_placed(
    scheduler: &Scheduler,
    now: f64,
    node: &VmId,
    (id, prompt, deadline_ms): (WorkId, f64, f64),
    decision: &Decision,
) {
    let (message, retry_after_ms) = match decision {
        Decision::Refuse { retry_after_ms } => ("work refused", *retry_after_ms),
        _ => ("work waits", 0.0),
    };
    let idle = scheduler.engines().filter(|(_, load)| load.is_empty());
    spdlog::info!("{message}", kv: {
        work: = id, node: = node, prompt = prompt as u64, deadline_ms = deadline_ms as u64,
        retry_after_ms = retry_after_ms as u64, first_free_ms = scheduler.first_free_ms(now) as u64,
        waiting = scheduler.waiting(), placed = scheduler.placed(), engines = scheduler.engines().count(),
        cold = scheduler.engines().filter(|(_, load)| load.is_cold()).count(),
        idle = idle.count()
    });
}

fn reply_to_heartbeat(
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
    let peers = state.relays.iter().filter(|(node, _)| *node != from);
    let relays = peers
        .map(|(_, address)| *address)
        .sample(&mut rand::rng(), MAX_RELAYS);
    SchedulerMessage::HeartbeatReply {
        unknown,
        nodes,
        evidence: None,
        signals: Vec::new(),
        version: SignalVersion::default(),
        quarantines: quarantines(state, now),
        verdicts: RequestVerdicts::default(),
        slow_engines: None,
        relays,
        grants_retries: true,
    }
}

fn quarantines(state: &HostState, now: f64) -> Vec<Quarantine> {
    let schedulers = state.schedulers.iter();
    schedulers
        .map(|(service, scheduler)| (service, scheduler.crash_ledger()))
        .chain(&state.early_ledgers)
        .flat_map(|(service, ledger)| ledger.quarantines(now, service))
        .collect()
}

fn ledgers(state: &mut HostState) -> impl Iterator<Item = (&ServiceName, &mut CrashLedger)> {
    let schedulers = state.schedulers.iter_mut();
    schedulers
        .map(|(service, scheduler)| (service, scheduler.crash_ledger_mut()))
        .chain(&mut state.early_ledgers)
}

fn learn_quarantines(state: &mut HostState, now: f64, quarantines: &[Quarantine]) {
    for quarantine in quarantines {
        let service = &quarantine.service;
        if !state.schedulers.contains_key(service) {
            state.early_ledgers.entry(service.clone()).or_default();
        }
    }
    for (service, ledger) in ledgers(state) {
        let of_service = quarantines.iter().filter(|q| q.service == *service);
        ledger.learn(now, of_service);
    }
}

fn slow_engines(state: &HostState, now: f64) -> Vec<SlowEngine> {
    let schedulers = state.schedulers.values();
    let slow = schedulers.flat_map(|scheduler| scheduler.slow_engines(now));
    slow.filter(|engine| engine.age_ms <= SLOW_ENGINE_TTL_MS)
        .take(MAX_SLOW_ENGINES)
        .collect()
}

fn slow_engine_changes(
    state: &mut HostState,
    now: f64,
    seen: SignalVersion,
) -> Option<SlowEngineChanges> {
    if state.slow_engine_table.is_due(now) {
        let slow = slow_engines(state, now);
        state.slow_engine_table.update(now, &slow);
    }
    state.slow_engine_table.changes_since(now, seen)
}

fn learn_slow_engines(state: &mut HostState, now: f64, engines: &[SlowEngine]) {
    let early = &mut state.early_slow_engines;
    early.retain(|(measured_at, _)| now - measured_at <= SLOW_ENGINE_TTL_MS);
    // Another node's values may be anything, including no numbers.
    let is_valid = |engine: &&SlowEngine| {
        (1.0..=MAX_SLOW_FACTOR).contains(&engine.factor)
            && (0.0..=SLOW_ENGINE_TTL_MS).contains(&engine.age_ms)
    };
    for engine in engines.iter().filter(is_valid).take(MAX_SLOW_ENGINES) {
        let measured_at = now - engine.age_ms;
        let mut schedulers = state.schedulers.values_mut();
        let is_known = schedulers.any(|s| s.learn_slow_engine(measured_at, engine));
        if !is_known && early.len() < MAX_SLOW_ENGINES {
            early.push((measured_at, engine.clone()));
        }
    }
}

/// Tells the ledgers of prompt parts which engines are known to have crashed.
fn confirm_crashes(state: &mut HostState, now: f64, crashes: &[RequestCrash]) {
    for crash in crashes {
        for scheduler in state.schedulers.values_mut() {
            let ledger = scheduler.crash_ledger_mut();
            ledger.confirm_crash(now, now - crash.age_ms, &crash.upstream);
        }
    }
}

fn adopt(state: &mut HostState, now: f64, from: &VmId, held: &[HeldWork]) {
    for placement in held.iter().filter(|placement| placement.work.is_valid()) {
        if let Some(scheduler) = state.schedulers.get_mut(&placement.service) {
            scheduler.adopt(
                now,
                from,
                &placement.work,
                &placement.engine,
                placement.started,
            );
        }
    }
}

//! [`SchedulerClient`].

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use oleanderpost_types::VmId;
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, sleep},
};

use crate::{
    BootTime, CrashWatch, Decision, DecisionSink, Grant, HeldWork, Lease, NodeState, PeerChanges,
    PeerEvidence, PeerLink, PeerState, PeerStateSource, RequestCrash, RequestFingerprint,
    RequestVerdicts, SchedulerHost, SchedulerMessage, ServiceName, SignalVersion, StorePosition,
    Upstream, UpstreamId, Work, WorkEnd, WorkId, boot_clock::BootClock,
    engine_finder::DEFAULT_RETRY_AFTER, fleet_share::SETTLING_TIME, lease_owner::LeaseOwner,
};

/// Timeout for the reply to a submitted request. The latency between two data centres is about one
/// millisecond.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a peer's full state, which is some tens of kilobytes.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of nodes from which on only the seeds read the discovery store all the time.
const FOLLOWING_MIN_NODES: usize = 24;
/// Time for which a scheduler that takes over is told of a crash. Callers repeat requests within seconds.
const CRASH_REPORT_TTL: Duration = Duration::from_secs(60);
/// Maximum number of crashes that a scheduler which takes over is told of.
const MAX_CRASH_REPORTS: usize = 64;
/// Time for which a scheduler that did not reply is skipped.
const SKIP_TIME: Duration = Duration::from_millis(700);

/// A request waiting for a decision.
struct Waiter {
    tx: oneshot::Sender<Decision>,
    /// Whether the scheduler has confirmed that the request is queued.
    queued: bool,
}

/// Requests of this node, and the schedulers that are being skipped.
#[derive(Default)]
struct ClientState {
    waiting: HashMap<WorkId, Waiter>,
    held: HashMap<WorkId, HeldWork>,
    skipped_until: HashMap<VmId, Instant>,
    /// Signals of upstreams received from each scheduler.
    seen_signals: HashMap<VmId, SignalVersion>,
    /// Changes of the speeds of engines received from the scheduler that told them last.
    slow_engines_seen: SignalVersion,
    /// Scheduler, with the start of its node, that knows the quarantines and crashes of this node.
    informed: Option<(VmId, u64)>,
    /// Recent crashes that this node has seen, oldest first.
    crashes: VecDeque<(BootTime, RequestCrash)>,
    /// Requests that have not been reported to a scheduler.
    unreported_requests: HashMap<ServiceName, u64>,
    /// Schedulers of an earlier version, which do not grant retries.
    without_retries: HashSet<VmId>,
    /// When this node began to use the scheduler that it uses now.
    leader_since: Option<BootTime>,
    /// Scheduler that has said that it serves this node no longer.
    released_by: Option<VmId>,
}

impl ClientState {
    /// The recent crashes with their ages.
    fn recent_crashes(&mut self) -> Vec<RequestCrash> {
        let now = BootTime::now();
        self.crashes
            .retain(|(at, _)| now.since(*at) <= CRASH_REPORT_TTL);
        let crashes = self.crashes.iter().map(|(at, crash)| RequestCrash {
            age_ms: now.since(*at).as_secs_f64() * 1e3,
            ..crash.clone()
        });
        crashes.collect()
    }
}

/// Obtains placements from the scheduler of the fleet.
///
/// The first seed node that replies schedules for all nodes. A node that can't reach any seed schedules its
/// own requests.
pub struct SchedulerClient {
    own_id: VmId,
    seeds: Mutex<Vec<VmId>>,
    node_state: Arc<NodeState>,
    link: Arc<dyn PeerLink>,
    host: Arc<SchedulerHost>,
    client_state: Mutex<ClientState>,
    leader: watch::Sender<VmId>,
    /// Whether a heartbeat has been answered, or has found no scheduler.
    has_sent_heartbeat: watch::Sender<bool>,
    nodes: AtomicUsize,
    /// Peers that accept relayed requests.
    relays: Mutex<Vec<SocketAddr>>,
    offered_address: Mutex<Option<SocketAddr>>,
    start_id: u64,
    clock: BootClock,
    next_number: AtomicU64,
}

impl SchedulerClient {
    /// Creates the client of the node `own_id`. `start_id` must be unique among all starts of all nodes.
    #[must_use]
    pub fn new(
        own_id: VmId,
        mut seeds: Vec<VmId>,
        link: Arc<dyn PeerLink>,
        host: Arc<SchedulerHost>,
        node_state: Arc<NodeState>,
        start_id: u64,
    ) -> Self {
        seeds.sort();
        host.set_seeds(&seeds);
        if seeds.is_empty() || seeds.contains(&own_id) {
            host.note_start(1.0 / seeds.len().max(1) as f64);
        }
        let first = seeds.first().cloned().unwrap_or_else(|| own_id.clone());
        Self {
            own_id,
            seeds: Mutex::new(seeds),
            node_state,
            link,
            host,
            client_state: Mutex::default(),
            leader: watch::Sender::new(first),
            has_sent_heartbeat: watch::Sender::new(false),
            nodes: AtomicUsize::new(1),
            relays: Mutex::default(),
            offered_address: Mutex::default(),
            start_id,
            clock: BootClock::new(),
            next_number: AtomicU64::new(0),
        }
    }

    /// Peers that accept relayed requests.
    #[must_use]
    pub fn relays(&self) -> Vec<SocketAddr> {
        let relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        relays.clone()
    }

    /// Sets the address at which this node accepts relayed requests.
    pub fn offer_relay(&self, address: Option<SocketAddr>) {
        let mut offered = self
            .offered_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *offered = address;
    }

    fn relay_address(&self) -> Option<SocketAddr> {
        let offered = self
            .offered_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        offered.filter(|_| self.node_state.is_ready())
    }

    /// Replaces the nodes that may act as scheduler for the fleet.
    pub fn set_seeds(&self, mut seeds: Vec<VmId>) {
        seeds.sort();
        self.host.set_seeds(&seeds);
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = seeds;
    }

    /// Returns a new identifier for a placement.
    pub fn next_id(&self) -> WorkId {
        WorkId(
            self.start_id,
            self.next_number.fetch_add(1, Ordering::Relaxed),
        )
    }

    /// Number of nodes in the fleet according to the last heartbeat reply.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.nodes.load(Ordering::Relaxed)
    }

    /// Node of the scheduler in use.
    #[must_use]
    pub fn leader(&self) -> VmId {
        self.leader.borrow().clone()
    }

    /// Waits until the request is placed.
    ///
    /// # Errors
    ///
    /// The time in milliseconds after which a retry makes sense, if the request can't be served in time.
    pub async fn place(
        self: &Arc<Self>,
        service: &ServiceName,
        submitted: Work,
    ) -> Result<Lease, f64> {
        let submitted_at = Instant::now();
        let mut placement = PendingPlacement::new(Arc::clone(self), service.clone(), submitted.id);
        loop {
            let elapsed_ms = submitted_at.elapsed().as_secs_f64() * 1e3;
            let work = submitted.after(elapsed_ms);
            let mut leader = self.leader.subscribe();
            let to = leader.borrow_and_update().clone();
            let decision_rx = self.register_waiter(work.id);
            let Some(decision) = self.submit(&to, service, &work).await else {
                self.skip_scheduler(&to);
                continue;
            };
            let decision = match decision {
                Decision::Wait => {
                    self.mark_queued(work.id);
                    tokio::select! {
                        biased;
                        decision = decision_rx => decision.unwrap_or(Decision::Wait),
                        _ = leader.changed() => Decision::Wait,
                    }
                }
                other => other,
            };
            match decision {
                Decision::Run(grant) => return Ok(placement.grant_lease(work, grant)),
                Decision::Refuse { retry_after_ms } => {
                    placement.disarm();
                    return Err(retry_after_ms);
                }
                Decision::Wait => {}
            }
        }
    }

    /// Obtains the permission to send one request to an upstream that limits its requests; returns the time after
    /// which it may be sent, at most `max_wait`.
    ///
    /// # Errors
    ///
    /// The time after which a retry makes sense.
    pub async fn permit(
        &self,
        upstream: &UpstreamId,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        loop {
            let to = self.leader();
            let msg = SchedulerMessage::AskPermit {
                upstream: upstream.clone(),
                max_wait_ms: max_wait.as_secs_f64() * 1e3,
            };
            match self.exchange(&to, msg, SUBMIT_TIMEOUT).await {
                Some(SchedulerMessage::Permit {
                    granted,
                    wait_ms,
                    limited,
                }) => {
                    let wait = duration_from_ms(wait_ms);
                    if !granted {
                        return Err(wait);
                    }
                    if !limited {
                        self.take_cold_shares([upstream])?;
                    }
                    return Ok(wait);
                }
                _ if to == self.own_id => return Err(DEFAULT_RETRY_AFTER),
                _ => self.skip_scheduler(&to),
            }
        }
    }

    /// Counts a request of a caller, which earns a part of a retry.
    pub fn note_request(&self, service: &ServiceName) {
        let mut state = self.lock();
        *state
            .unreported_requests
            .entry(service.clone())
            .or_default() += 1;
    }

    /// Takes one retry of a request to the service from the budget of the fleet; returns `false` if none is left or no
    /// scheduler can be asked.
    pub async fn take_retry(&self, service: &ServiceName) -> bool {
        loop {
            let to = self.leader();
            let (requests, is_granting) = {
                let mut state = self.lock();
                let requests = state.unreported_requests.remove(service);
                (requests.unwrap_or(0), !state.without_retries.contains(&to))
            };
            if !is_granting {
                self.host.note_requests(service, requests);
                return self.host.take_retry(service);
            }
            let service = service.clone();
            let msg = SchedulerMessage::AskRetry { service, requests };
            match self.exchange(&to, msg, SUBMIT_TIMEOUT).await {
                Some(SchedulerMessage::Retry { allowed }) => return allowed,
                _ if to == self.own_id => return false,
                _ => self.skip_scheduler(&to),
            }
        }
    }

    /// Requests for the report to the scheduler `to`, and the time for which this node has used it. What is reported to
    /// one scheduler is not reported again, even if the report is lost.
    fn report_for(&self, to: &VmId) -> (Vec<(ServiceName, u64)>, Duration) {
        let is_leader = *self.leader.borrow() == *to;
        let now = self.clock.now();
        let mut state = self.lock();
        let since = *state.leader_since.get_or_insert(now);
        if !is_leader {
            return (Vec::new(), Duration::ZERO);
        }
        let requests: Vec<_> = state.unreported_requests.drain().collect();
        let is_granting = !state.without_retries.contains(to);
        drop(state);
        if is_granting {
            return (requests, now.since(since));
        }
        for (service, requests) in requests {
            self.host.note_requests(&service, requests);
        }
        (Vec::new(), now.since(since))
    }

    /// Restarts the time for which this node has used its scheduler, unless the scheduler counts the node no longer.
    fn note_change_of_leader(&self) {
        let now = self.clock.now();
        let before = self.leader();
        let mut state = self.lock();
        let is_released = state.released_by.take() == Some(before);
        let since = if is_released {
            now.before(SETTLING_TIME)
        } else {
            now
        };
        state.leader_since = Some(since);
    }

    /// Takes the permission to send one request to each of `upstreams` that is cold from this node's own share of their
    /// limits. Needed if the scheduler does not keep to these limits: it runs an earlier version, or does not know yet
    /// that they are cold.
    ///
    /// # Errors
    ///
    /// The time after which a retry makes sense.
    pub(crate) fn take_cold_shares<'a>(
        &self,
        upstreams: impl IntoIterator<Item = &'a UpstreamId>,
    ) -> Result<(), Duration> {
        let now = BootTime::now();
        for id in upstreams {
            let upstream = self.node_state.directory().get(id).cloned();
            if upstream.is_some_and(|upstream| self.node_state.cold(&upstream, now).is_some()) {
                self.host.take_own_share(id).map_err(duration_from_ms)?;
            }
        }
        Ok(())
    }

    /// Whether this node's own share of the limit of a cold upstream allows a request now.
    pub(crate) fn has_cold_share(&self, upstream: &UpstreamId) -> bool {
        self.host.own_share_wait_ms(upstream) <= 0.0
    }

    /// Requests that crash upstreams.
    pub(crate) fn crash_watch(&self) -> &CrashWatch {
        self.host.crash_watch()
    }

    /// Reports that an upstream crashed while it had a request, and waits until this node knows whether the request
    /// may be sent again.
    pub async fn report_crash(&self, request: RequestFingerprint, upstream: &Upstream) {
        let crash = RequestCrash {
            request,
            upstream: upstream.id.clone(),
            started_at: upstream.started_at,
            age_ms: 0.0,
        };
        {
            let mut state = self.lock();
            if state.crashes.len() >= MAX_CRASH_REPORTS {
                state.crashes.pop_front();
            }
            state.crashes.push_back((BootTime::now(), crash.clone()));
        }
        loop {
            let to = self.leader();
            let crashes = vec![crash.clone()];
            let msg = SchedulerMessage::RequestCrashes { crashes };
            match self.exchange(&to, msg, SUBMIT_TIMEOUT).await {
                Some(SchedulerMessage::RequestVerdicts { verdicts }) => {
                    return self.apply_verdicts(&to, &verdicts);
                }
                _ if to == self.own_id => return,
                _ => self.skip_scheduler(&to),
            }
        }
    }

    /// Records that a complete response to the request has arrived.
    pub fn note_sound(&self, request: RequestFingerprint) {
        if !self.crash_watch().is_watched(request) {
            return;
        }
        let mut state = self.lock();
        state.crashes.retain(|(_, crash)| crash.request != request);
        drop(state);
        let to = self.leader();
        if to != self.own_id {
            self.crash_watch().remove_suspect(request);
            self.crash_watch().note_sound(&[request]);
        }
        let requests = vec![request];
        self.send_to(&to, SchedulerMessage::SoundRequests { requests });
    }

    /// Applies what the node `from` says of requests that crash upstreams, if its scheduler is in use.
    pub fn apply_verdicts(&self, from: &VmId, verdicts: &RequestVerdicts) {
        if *from != self.own_id && *from == self.leader() {
            self.crash_watch().learn_verdicts(verdicts);
        }
    }

    /// Sends what this node has learned about upstreams to the scheduler in use.
    pub fn send_signals(&self) {
        let signals = self.node_state.signals().take_unsent(BootTime::now());
        let to = self.leader();
        if !signals.is_empty() && to != self.own_id {
            self.link.send(&to, &SchedulerMessage::Signals { signals });
        }
    }

    /// Delivers a decision that a scheduler made after the request had been queued.
    pub fn deliver_decision(&self, id: WorkId, decision: Decision) {
        let waiter = self.lock().waiting.remove(&id);
        if let Some(waiter) = waiter {
            // The request may have ended in the meantime; its guard then notifies the scheduler.
            let _ = waiter.tx.send(decision);
        }
    }

    /// Sends heartbeats and selects the scheduler to use; never returns.
    pub async fn run(&self) {
        loop {
            self.send_heartbeat().await;
            self.has_sent_heartbeat.send_replace(true);
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn send_heartbeat(&self) {
        for seed in self.schedulers_by_preference() {
            let ids = self.work_ids();
            let seen = self.lock().seen_signals.get(&seed).copied();
            let seen = seen.unwrap_or_default();
            // A scheduler that is told again what it has ended would learn it anew.
            let is_informed = self.lock().informed == Some((seed.clone(), seen.start_id));
            let (quarantines, request_quarantines, request_crashes, slow_engines) = if is_informed {
                (Vec::new(), Vec::new(), Vec::new(), Vec::new())
            } else {
                let verdicts = self.crash_watch().verdicts();
                let crashes = self.lock().recent_crashes();
                let (quarantines, slow) = (self.host.quarantines(), self.host.slow_engines());
                (quarantines, verdicts.quarantines, crashes, slow)
            };
            let sent_at = BootTime::now();
            let signals = self.node_state.signals().own(sent_at);
            let (requests, used_for) = self.report_for(&seed);
            let heartbeat = SchedulerMessage::Heartbeat {
                ids,
                seen,
                signals,
                quarantines,
                request_quarantines,
                request_crashes,
                slow_engines,
                slow_engines_seen: self.lock().slow_engines_seen,
                relay_address: self.relay_address(),
                used_ms: used_for.as_secs_f64() * 1e3,
                requests,
            };
            let reply = self.exchange(&seed, heartbeat, HEARTBEAT_TIMEOUT).await;
            let Some(reply) = reply else {
                self.skip_scheduler(&seed);
                continue;
            };
            let SchedulerMessage::HeartbeatReply {
                unknown,
                nodes,
                evidence,
                signals,
                version,
                quarantines,
                verdicts,
                slow_engines,
                relays,
                grants_retries,
            } = reply
            else {
                self.lock().released_by = Some(seed.clone());
                self.skip_scheduler(&seed);
                continue;
            };
            if let Some(evidence) = evidence {
                self.node_state.record_peer_evidence(sent_at, evidence);
            }
            self.nodes.store(nodes.max(1), Ordering::Relaxed);
            self.host.note_fleet_size(nodes);
            *self.relays.lock().unwrap_or_else(PoisonError::into_inner) = relays;
            // A scheduler that has restarted gives back what it is told with the next heartbeat.
            let has_restarted = is_informed && seen.start_id != version.start_id;
            self.lock().informed = (!has_restarted).then(|| (seed.clone(), version.start_id));
            if seed != self.own_id && !has_restarted {
                self.host.replace_quarantines(&quarantines);
                self.crash_watch().replace_learned(&verdicts);
            }
            if let Some(changes) = slow_engines.filter(|_| seed != self.own_id) {
                self.host.learn_slow_engines(&changes.engines);
                self.lock().slow_engines_seen = changes.version;
            }
            self.node_state.apply_signals(&seed, &signals);
            if seen.start_id != version.start_id {
                self.send_all_signals(&seed);
            }
            let mut state = self.lock();
            state.skipped_until.remove(&seed);
            state.seen_signals.insert(seed.clone(), version);
            if grants_retries {
                state.without_retries.remove(&seed);
            } else {
                state.without_retries.insert(seed.clone());
            }
            drop(state);
            self.resubmit(&unknown);
            let held: Vec<_> = {
                let state = self.lock();
                unknown
                    .iter()
                    .filter_map(|id| state.held.get(id).cloned())
                    .collect()
            };
            if !held.is_empty() {
                self.send_to(&seed, SchedulerMessage::Adopt { held });
            }
            self.set_leader(seed);
            return;
        }
        self.set_leader(self.own_id.clone());
    }

    /// Schedulers that are not being skipped, in order of preference. This node comes last unless it is a
    /// seed itself.
    fn schedulers_by_preference(&self) -> Vec<VmId> {
        let state = self.lock();
        let is_skipped = |seed: &VmId| {
            state
                .skipped_until
                .get(seed)
                .is_some_and(|until| Instant::now() < *until)
        };
        let mut schedulers: Vec<_> = self
            .seeds
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
            .filter(|seed| !is_skipped(seed))
            .cloned()
            .collect();
        if !schedulers.contains(&self.own_id) {
            schedulers.push(self.own_id.clone());
        }
        schedulers
    }

    fn is_seed(&self) -> bool {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.contains(&self.own_id)
    }

    fn skip_scheduler(&self, seed: &VmId) {
        if *seed == self.own_id {
            return;
        }
        let mut state = self.lock();
        state
            .skipped_until
            .insert(seed.clone(), Instant::now() + SKIP_TIME);
        drop(state);
        if *self.leader.borrow() == *seed {
            let next = self.schedulers_by_preference().into_iter().next();
            self.set_leader(next.unwrap_or_else(|| self.own_id.clone()));
        }
    }

    /// Sends all limits in force to a scheduler that may not know them.
    fn send_all_signals(&self, to: &VmId) {
        let signals = self.node_state.signals().active(BootTime::now());
        if !signals.is_empty() && *to != self.own_id {
            self.link.send(to, &SchedulerMessage::Signals { signals });
        }
    }

    fn set_leader(&self, to: VmId) {
        if *self.leader.borrow() != to {
            self.note_change_of_leader();
            // Sent ahead of the requests that follow on the same link.
            self.send_all_signals(&to);
        }
        let changed = self.leader.send_if_modified(|leader| {
            let differs = *leader != to;
            if differs {
                leader.clone_from(&to);
            }
            differs
        });
        if changed {
            spdlog::info!("scheduler changed", kv: { scheduler: = to, own = to == self.own_id });
        }
    }

    async fn submit(&self, to: &VmId, service: &ServiceName, work: &Work) -> Option<Decision> {
        let msg = SchedulerMessage::Submit {
            service: service.clone(),
            work: work.clone(),
        };
        match self.exchange(to, msg, SUBMIT_TIMEOUT).await {
            Some(SchedulerMessage::Decided { decision, .. }) => Some(decision),
            // The local scheduler does not know the service, and there is no other one to fall back to. The
            // service may still be starting up, so the request may be retried.
            _ if *to == self.own_id => Some(Decision::Refuse {
                retry_after_ms: 500.0,
            }),
            _ => None,
        }
    }

    async fn exchange(
        &self,
        to: &VmId,
        msg: SchedulerMessage,
        time_limit: Duration,
    ) -> Option<SchedulerMessage> {
        if *to == self.own_id {
            return self.host.handle(&self.own_id, msg, true);
        }
        self.link.request(to, msg, time_limit).await
    }

    fn send_to_leader(&self, msg: SchedulerMessage) {
        let to = self.leader();
        self.send_to(&to, msg);
    }

    fn send_to(&self, to: &VmId, msg: SchedulerMessage) {
        if *to == self.own_id {
            self.host.handle(&self.own_id, msg, true);
        } else {
            self.link.send(to, &msg);
        }
    }

    fn register_waiter(&self, id: WorkId) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.lock().waiting.insert(id, Waiter { tx, queued: false });
        rx
    }

    fn mark_queued(&self, id: WorkId) {
        if let Some(waiter) = self.lock().waiting.get_mut(&id) {
            waiter.queued = true;
        }
    }

    /// Submits requests again that the scheduler does not know although it had queued them.
    fn resubmit(&self, unknown: &[WorkId]) {
        let mut state = self.lock();
        for id in unknown {
            if state.waiting.get(id).is_some_and(|waiter| waiter.queued)
                && let Some(waiter) = state.waiting.remove(id)
            {
                // The receiver is gone if the request was cancelled.
                let _ = waiter.tx.send(Decision::Wait);
            }
        }
    }

    fn work_ids(&self) -> Vec<WorkId> {
        let state = self.lock();
        state
            .held
            .keys()
            .chain(state.waiting.keys())
            .copied()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ClientState> {
        self.client_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl LeaseOwner for SchedulerClient {
    fn note_first_event(&self, service: &ServiceName, id: WorkId) {
        if let Some(held) = self.lock().held.get_mut(&id) {
            held.started = true;
        }
        self.send_to_leader(SchedulerMessage::FirstEvent {
            service: service.clone(),
            id,
        });
    }

    fn note_end(&self, service: &ServiceName, id: WorkId, end: WorkEnd) {
        let mut state = self.lock();
        state.held.remove(&id);
        state.waiting.remove(&id);
        drop(state);
        self.send_to_leader(SchedulerMessage::Ended {
            service: service.clone(),
            id,
            end,
        });
    }
}

impl SchedulerClient {
    /// Requests the changes since a position and a version of the configuration from a seed.
    async fn ask_changes(
        &self,
        seed: &VmId,
        after: StorePosition,
        config_version: u64,
    ) -> Option<(BootTime, PeerChanges)> {
        let sent_at = BootTime::now();
        let msg = SchedulerMessage::AskChanges {
            after: after.revision,
            era: after.era,
            config_version: Some(config_version),
        };
        match self.exchange(seed, msg, STATE_TIMEOUT).await {
            Some(SchedulerMessage::Changes {
                changes: Some(changes),
            }) => Some((sent_at, *changes)),
            _ => None,
        }
    }

    /// Evidence of the first other seed that has some. It comes with the changes since `position`, which are few, unlike the
    /// full state.
    async fn evidence_of_other_seed(
        &self,
        position: StorePosition,
        config_version: u64,
    ) -> Option<PeerEvidence> {
        for seed in self.schedulers_by_preference() {
            if seed == self.own_id {
                continue;
            }
            let asked = self.ask_changes(&seed, position, config_version).await;
            if let Some((_, changes)) = asked {
                return Some(changes.evidence);
            }
        }
        None
    }
}

#[async_trait::async_trait]
impl PeerStateSource for SchedulerClient {
    async fn fetch_state(&self) -> Option<(BootTime, PeerState)> {
        for seed in self.schedulers_by_preference() {
            if seed == self.own_id {
                continue;
            }
            let sent_at = BootTime::now();
            let reply = self
                .exchange(&seed, SchedulerMessage::AskState, STATE_TIMEOUT)
                .await;
            if let Some(SchedulerMessage::State { state: Some(state) }) = reply {
                return Some((sent_at, *state));
            }
        }
        None
    }

    async fn fetch_changes(
        &self,
        after: StorePosition,
        config_version: u64,
    ) -> Option<(BootTime, PeerChanges)> {
        let leader = self.leader();
        self.ask_changes(&leader, after, config_version).await
    }

    async fn fetch_newer_state(
        &self,
        position: StorePosition,
        config_version: u64,
    ) -> Option<(BootTime, PeerState)> {
        let is_newer = |evidence: &PeerEvidence| evidence.version > config_version;
        let evidence = if self.is_seed() {
            // The first seed sends its heartbeats to itself.
            self.evidence_of_other_seed(position, config_version).await
        } else {
            let mut has_contact = self.has_sent_heartbeat.subscribe();
            // The sender lives as long as this client.
            let _ = has_contact.wait_for(|sent| *sent).await;
            self.node_state.recent_peer_evidence(Duration::MAX)
        };
        evidence.filter(is_newer)?;
        let fetched = self.fetch_state().await;
        fetched.filter(|(_, state)| is_newer(&state.evidence))
    }

    fn may_follow(&self) -> bool {
        self.nodes() >= FOLLOWING_MIN_NODES && !self.is_seed()
    }

    fn is_followed(&self) -> bool {
        self.nodes() >= FOLLOWING_MIN_NODES && self.is_seed()
    }
}

/// Delivers decisions of the local scheduler host: directly to this node, over links to other nodes.
pub struct DecisionRouter {
    client: std::sync::Weak<SchedulerClient>,
}

impl DecisionRouter {
    /// Creates a router for the node of `client`.
    #[must_use]
    pub fn new(client: &Arc<SchedulerClient>) -> Self {
        Self {
            client: Arc::downgrade(client),
        }
    }
}

impl DecisionSink for DecisionRouter {
    fn announce(&self, node: &VmId, verdicts: &RequestVerdicts) {
        let Some(client) = self.client.upgrade() else {
            return;
        };
        if *node != client.own_id {
            let verdicts = verdicts.clone();
            client
                .link
                .send(node, &SchedulerMessage::RequestVerdicts { verdicts });
        }
    }

    fn deliver(&self, node: &VmId, id: WorkId, decision: Decision) {
        let Some(client) = self.client.upgrade() else {
            return;
        };
        if *node == client.own_id {
            client.deliver_decision(id, decision);
        } else {
            client
                .link
                .send(node, &SchedulerMessage::Decided { id, decision });
        }
    }
}

/// A request that has been submitted. If dropped before the decision, notifies the scheduler that the
/// request is cancelled.
struct PendingPlacement {
    client: Arc<SchedulerClient>,
    service: ServiceName,
    id: WorkId,
    armed: bool,
}

impl PendingPlacement {
    fn new(client: Arc<SchedulerClient>, service: ServiceName, id: WorkId) -> Self {
        Self {
            client,
            service,
            id,
            armed: true,
        }
    }

    fn grant_lease(&mut self, work: Work, grant: Grant) -> Lease {
        self.armed = false;
        let held = HeldWork {
            service: self.service.clone(),
            work,
            engine: grant.engine.clone(),
            started: false,
        };
        let mut state = self.client.lock();
        state.waiting.remove(&self.id);
        state.held.insert(self.id, held);
        drop(state);
        Lease::new(
            Arc::clone(&self.client) as Arc<dyn LeaseOwner>,
            self.service.clone(),
            self.id,
            grant,
        )
    }

    fn disarm(&mut self) {
        self.armed = false;
        self.client.lock().waiting.remove(&self.id);
    }
}

impl Drop for PendingPlacement {
    fn drop(&mut self) {
        if self.armed {
            self.client
                .note_end(&self.service, self.id, WorkEnd::Cancelled);
        }
    }
}

/// Duration of `ms` milliseconds that another node sent, or the default retry time if it is out of range.
fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(DEFAULT_RETRY_AFTER)
}

//! [`NodeState`].

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use oleanderpost_types::VmId;
use rand::RngExt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    BootTime, ColdUpstream, ConfigDelta, Drain, Evidence, LogRateLimiter, PeerChanges,
    PeerEvidence, PeerState, RequestId, RequestRate, ResponseHead, ServiceName, ServingConfig,
    SignalTable, StoreHistory, StorePosition, Upstream, UpstreamDirectory, UpstreamId,
    UpstreamSignal, change_log::ChangeLog, config_history::ConfigHistory,
};

/// State of a node: the applied configuration, the upstreams, and the evidence that both are current.
pub struct NodeState {
    config: ArcSwapOption<ServingConfig>,
    directory: Mutex<UpstreamDirectory>,
    evidence: Mutex<Evidence>,
    max_evidence_age: Duration,
    drain: OnceLock<Drain>,
    /// Cancelled when a drain begins.
    drain_started: CancellationToken,
    /// Cancelled at the end of a drain that requests have outlasted.
    drain_ended: CancellationToken,
    /// Position of the store up to which changes have been applied, and what was removed before.
    history: Mutex<StoreHistory>,
    /// Latest evidence from a peer, and when it was requested.
    latest_peer_evidence: Mutex<Option<(BootTime, PeerEvidence)>>,
    /// Notifies the task that follows a peer of new evidence.
    peer_evidence_recorded: Notify,
    /// Whether this node has ever known the evacuations as of its position.
    evacuations_learned: AtomicBool,
    /// Whether changes of evacuations may be missing, as the state was copied from a peer that does not know them.
    evacuations_missed: AtomicBool,
    /// Notifies tasks that wait for the first configuration.
    config_applied: Notify,
    change_log: Mutex<ChangeLog>,
    config_history: Mutex<ConfigHistory>,
    /// End of the grace period for entries that are missing since an outage of the store.
    missing_grace_end: Mutex<Option<BootTime>>,
    signals: Mutex<SignalTable>,
    /// Notifies the task that shares changed signals with the other nodes.
    signals_changed: Notify,
    /// Whether a process has been found to shut down since that task last looked.
    process_left: AtomicBool,
    signal_log_limiter: LogRateLimiter,
    /// Cold upstreams that have been logged.
    logged_cold: Mutex<Vec<ColdUpstream>>,
}

impl NodeState {
    /// Creates an empty state. API keys are accepted only while the evidence is at most `max_evidence_age`
    /// old.
    #[must_use]
    pub fn new(max_evidence_age: Duration) -> Self {
        Self {
            config: ArcSwapOption::empty(),
            directory: Mutex::default(),
            evidence: Mutex::default(),
            max_evidence_age,
            drain: OnceLock::new(),
            drain_started: CancellationToken::new(),
            drain_ended: CancellationToken::new(),
            history: Mutex::default(),
            latest_peer_evidence: Mutex::default(),
            peer_evidence_recorded: Notify::new(),
            evacuations_learned: AtomicBool::new(false),
            evacuations_missed: AtomicBool::new(false),
            config_applied: Notify::new(),
            change_log: Mutex::default(),
            config_history: Mutex::default(),
            missing_grace_end: Mutex::default(),
            signals: Mutex::new(SignalTable::new(rand::rng().random())),
            signals_changed: Notify::new(),
            process_left: AtomicBool::new(false),
            signal_log_limiter: LogRateLimiter::new(BootTime::now()),
            logged_cold: Mutex::default(),
        }
    }

    /// The applied configuration.
    #[must_use]
    pub fn config(&self) -> Option<Arc<ServingConfig>> {
        self.config.load_full()
    }

    /// Applies a configuration if it is newer than the current one, or the same with other limits of cold upstreams,
    /// which a peer of an earlier version left out; `true` if it was applied.
    pub fn apply_config(&self, config: ServingConfig) -> bool {
        let previous = self.config();
        if previous.as_ref().is_some_and(|previous| {
            previous.version() > config.version()
                || previous.version() == config.version() && previous.has_same_cold_limits(&config)
        }) {
            return false;
        }
        spdlog::info!("configuration applied", kv: {
            version = config.version(), before = previous.map_or(0, |previous| previous.version())
        });
        self.history().note_version(config.version());
        let config = Arc::new(config);
        self.config_history().record(Arc::clone(&config));
        self.config.store(Some(config));
        self.config_applied.notify_waiters();
        true
    }

    /// Waits until a configuration has been applied.
    pub async fn wait_for_config(&self) {
        let config_applied = self.config_applied.notified();
        if self.config.load().is_none() {
            config_applied.await;
        }
    }

    /// Records that the store answered a request sent at `requested_at`, and that its response was applied.
    pub fn confirm(&self, requested_at: BootTime) {
        if self.history().is_evidence(requested_at) {
            self.add_evidence(requested_at);
        }
    }

    fn add_evidence(&self, requested_at: BootTime) {
        self.evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .confirm(requested_at);
    }

    /// Locks the memory of the store's history.
    pub fn history(&self) -> MutexGuard<'_, StoreHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Position of the store up to which changes have been applied.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.history().position()
    }

    /// Sets that position. In a new era, entries that the store has lost get the time to be registered again.
    pub fn advance(&self, position: StorePosition) {
        let now = BootTime::now();
        let mut history = self.history();
        let before = history.position();
        let begins_era = history.advance(position, now);
        let rewrite_end = history.rewrite_end();
        drop(history);
        if begins_era {
            spdlog::warn!("store has returned from a copy", kv: { position: = position, before: = before });
        }
        if let Some(end) = rewrite_end.filter(|_| begins_era) {
            self.extend_missing_grace(end);
        }
    }

    /// Evidence to send to peers; `None` without evidence or configuration.
    #[must_use]
    pub fn evidence_for_peers(&self) -> Option<PeerEvidence> {
        let age = self.evidence_age()?;
        Some(PeerEvidence {
            version: self.config()?.version(),
            age_ms: u64::try_from(age.as_millis()).ok()? + 1,
            position: self.position(),
        })
    }

    /// Full state to send to peers; `None` without evidence or configuration.
    #[must_use]
    pub fn state_for_peers(&self) -> Option<PeerState> {
        let evidence = self.evidence_for_peers()?;
        let config = self.config()?;
        let directory = self.directory();
        let upstreams = directory.ids().filter_map(|id| directory.get(id));
        let upstreams = upstreams.map(|upstream| Upstream {
            draining: directory.is_leaving(upstream),
            ..Upstream::clone(upstream)
        });
        Some(PeerState {
            evidence,
            config: ServingConfig::clone(&config),
            upstreams: upstreams.collect(),
            evacuated: (!self.has_missed_evacuations())
                .then(|| directory.listed_evacuations().cloned().collect()),
        })
    }

    /// Records evidence of a peer that was requested at `requested_at`; `true` if it also holds for this
    /// node.
    ///
    /// It holds only if this node has the peer's configuration version or a newer one. Its age is added to
    /// the time since the request was sent, so that network delay makes the evidence older and never younger.
    pub fn record_peer_evidence(&self, requested_at: BootTime, evidence: PeerEvidence) -> bool {
        *self
            .latest_peer_evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some((requested_at, evidence));
        self.peer_evidence_recorded.notify_one();
        let asked_at = requested_at.before(Duration::from_millis(evidence.age_ms));
        let own_version = self.config().map_or(0, |config| config.version());
        let mut history = self.history();
        history.note_peer_version(evidence.version);
        let holds =
            own_version >= evidence.version && history.is_settled(asked_at, evidence.position);
        drop(history);
        if holds {
            self.add_evidence(asked_at);
        }
        holds
    }

    /// Waits until evidence of a peer is recorded.
    pub(crate) async fn peer_evidence_recorded(&self) {
        self.peer_evidence_recorded.notified().await;
    }

    /// Records whether the evacuations as of the current position are known.
    pub(crate) fn note_evacuations(&self, known: bool) {
        self.evacuations_missed.store(!known, Ordering::Release);
        if known {
            self.evacuations_learned.store(true, Ordering::Release);
        }
    }

    /// Whether changes of evacuations may be missing up to the current position.
    #[must_use]
    pub fn has_missed_evacuations(&self) -> bool {
        self.evacuations_missed.load(Ordering::Acquire)
    }

    /// Whether requests to the service are rejected because all of its upstreams are in evacuated data centres.
    #[must_use]
    pub fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        self.directory().is_service_evacuated(service)
    }

    /// Locks the log of applied changes.
    pub(crate) fn change_log(&self) -> MutexGuard<'_, ChangeLog> {
        self.change_log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn config_history(&self) -> MutexGuard<'_, ConfigHistory> {
        self.config_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// End of the grace period for entries that are missing since an outage of the store, if it lasts.
    pub(crate) fn missing_grace_end(&self) -> Option<BootTime> {
        let end = *self
            .missing_grace_end
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        end.filter(|end| *end > BootTime::now())
    }

    /// Extends that grace period.
    pub(crate) fn extend_missing_grace(&self, end: BootTime) {
        let mut current = self
            .missing_grace_end
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *current = current.max(Some(end));
    }

    /// Changes since `after` to send to a peer with this version of the configuration; `None` if the peer should read
    /// the store. A peer without a version can't apply differences between configurations.
    #[must_use]
    pub fn changes_for_peers(
        &self,
        after: StorePosition,
        config_version: Option<u64>,
    ) -> Option<PeerChanges> {
        let evidence = self.evidence_for_peers()?;
        let changes = self.change_log().since(after)?;
        let is_current = config_version.is_none_or(|version| version == evidence.version);
        let config = match config_version {
            None if changes.config_changed => return None,
            Some(version) if !is_current => Some(self.config_history().delta_from(version)?),
            _ => None,
        };
        let now = BootTime::now();
        let grace = self
            .missing_grace_end()
            .map_or(Duration::ZERO, |end| end.since(now));
        Some(PeerChanges {
            evidence,
            upstreams: changes.upstreams,
            config: config.map(|delta| ConfigDelta::clone(&delta)),
            evacuations: (!self.has_missed_evacuations()).then_some(changes.evacuations),
            missing_grace_ms: u64::try_from(grace.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Latest evidence of a peer, if it was requested within `max_age`.
    #[must_use]
    pub fn recent_peer_evidence(&self, max_age: Duration) -> Option<PeerEvidence> {
        let latest = *self
            .latest_peer_evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latest
            .filter(|(at, _)| BootTime::now().since(*at) <= max_age)
            .map(|(_, evidence)| evidence)
    }

    /// Whether a peer has a newer configuration or is at a later position than this node.
    #[must_use]
    pub fn is_behind(&self, evidence: PeerEvidence) -> bool {
        let version = self.config().map_or(0, |config| config.version());
        version < evidence.version || self.position() < evidence.position
    }

    /// Age of the evidence; `None` if there is none yet.
    #[must_use]
    pub fn evidence_age(&self) -> Option<Duration> {
        self.evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .age(BootTime::now())
    }

    /// Whether the evidence is recent enough to accept API keys.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.evidence_age()
            .is_some_and(|age| age <= self.max_evidence_age)
    }

    /// Locks the upstream directory for reading or writing.
    pub fn directory(&self) -> MutexGuard<'_, UpstreamDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstreams of a service that accept new requests.
    #[must_use]
    pub fn usable_upstreams(&self, service: &ServiceName) -> Vec<Arc<Upstream>> {
        self.directory().usable(service).cloned().collect()
    }

    /// The upstream, if it accepts new requests.
    #[must_use]
    pub fn usable_upstream(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        let directory = self.directory();
        directory
            .is_usable(id)
            .then(|| directory.get(id).cloned())
            .flatten()
    }

    /// Locks the table of what the upstreams state about themselves.
    pub fn signals(&self) -> MutexGuard<'_, SignalTable> {
        self.signals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstream's cold state, if it is cold at `now` and its service limits the requests to cold upstreams.
    #[must_use]
    pub fn cold(&self, upstream: &Upstream, now: BootTime) -> Option<ColdUpstream> {
        let limit = self.config()?.service(&upstream.service)?.cold?;
        let by_entry = self.directory().cold_until(upstream, &limit);
        let until = by_entry.max(self.signals().cold_until(upstream))?;
        (until > now).then(|| ColdUpstream {
            id: upstream.id.clone(),
            started_at: upstream.started_at,
            limit: limit.requests_per_s,
            until,
        })
    }

    /// All upstreams that are cold.
    #[must_use]
    pub fn cold_upstreams(&self) -> Vec<ColdUpstream> {
        let now = BootTime::now();
        let config = self.config();
        let mut services = config.iter().flat_map(|config| config.services());
        if services.all(|(_, service)| service.cold.is_none()) {
            return Vec::new();
        }
        let directory = self.directory();
        let upstreams: Vec<_> = directory
            .ids()
            .filter_map(|id| directory.get(id).cloned())
            .collect();
        drop(directory);
        let cold = upstreams.iter();
        cold.filter_map(|upstream| self.cold(upstream, now))
            .collect()
    }

    /// Whether all upstreams of the service that accept new requests are cold.
    #[must_use]
    pub fn is_cold_service(&self, service: &ServiceName) -> bool {
        let now = BootTime::now();
        let upstreams = self.usable_upstreams(service);
        !upstreams.is_empty() && upstreams.iter().all(|u| self.cold(u, now).is_some())
    }

    /// Logs the upstreams that have become cold or warm; `cold` are all that are cold now.
    pub(crate) fn log_cold_changes(&self, cold: &[ColdUpstream]) {
        let mut logged = self
            .logged_cold
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_in = |list: &[ColdUpstream], process: &ColdUpstream| {
            let same = |u: &ColdUpstream| u.id == process.id && u.started_at == process.started_at;
            list.iter().any(same)
        };
        let now = BootTime::now();
        for began in cold.iter().filter(|process| !is_in(&logged, process)) {
            if self.signal_log_limiter.try_take(now) {
                spdlog::info!("upstream is cold", kv: {
                    upstream: = began.id, started_at = began.started_at.unwrap_or(0),
                    left_ms = began.until.since(now).as_millis() as u64, limit_per_s = began.limit.per_second()
                });
            }
        }
        for ended in logged.iter().filter(|process| !is_in(cold, process)) {
            if self.signal_log_limiter.try_take(now) {
                spdlog::info!("upstream is no longer cold", kv: {
                    upstream: = ended.id, started_at = ended.started_at.unwrap_or(0)
                });
            }
        }
        *logged = cold.to_vec();
    }

    /// Waits until the signals of an upstream have changed; returns whether a process has been found to shut down.
    pub(crate) async fn signals_changed(&self) -> bool {
        self.signals_changed.notified().await;
        self.process_left.swap(false, Ordering::AcqRel)
    }

    /// Time for which the upstream wants no requests from this node.
    #[must_use]
    pub fn pause_left(&self, upstream: &Upstream) -> Option<Duration> {
        self.signals().pause_left(upstream, BootTime::now())
    }

    /// The upstreams of a service that accept new requests but want a pause from this node, and how long.
    #[must_use]
    pub fn pauses(&self, service: &ServiceName) -> Vec<(UpstreamId, Duration)> {
        if !self.signals().has_pauses() {
            return Vec::new();
        }
        let usable = self.usable_upstreams(service);
        let pauses = usable
            .iter()
            .filter_map(|upstream| Some((upstream.id.clone(), self.pause_left(upstream)?)));
        pauses.collect()
    }

    /// Records what an upstream states in the head of its response to a request sent at `sent_at`.
    pub fn note_response(&self, upstream: &Upstream, head: &ResponseHead, sent_at: BootTime) {
        let now = BootTime::now();
        let request = head.request_id.as_ref().map_or("", RequestId::as_str);
        let mut signals = self.signals();
        let limit_before = signals.limit(upstream);
        let changed = signals.note_response(upstream, head, sent_at, now);
        let limit = signals.limit(upstream);
        let invalid_header = head
            .invalid_header
            .filter(|_| signals.note_invalid_header(upstream));
        drop(signals);
        if let Some(header) = invalid_header {
            spdlog::warn!("ignoring invalid header of an upstream", kv: { upstream: = upstream.id, header, request });
        }
        if let Some(pause) = head.pause
            && self.signal_log_limiter.try_take(now)
        {
            spdlog::info!("upstream wants a pause from this node", kv: {
                upstream: = upstream.id, pause_ms = pause.as_millis() as u64, request
            });
        }
        if !changed {
            return;
        }
        if limit != limit_before {
            self.log_limit(&upstream.id, limit, request, None);
        }
        if head.leaving {
            self.mark_leaving(&upstream.id, upstream.started_at, request, None);
        }
        self.signals_changed.notify_one();
    }

    /// Applies what the node `from` has learned about upstreams; returns whether anything was new.
    pub fn apply_signals(&self, from: &VmId, signals: &[UpstreamSignal]) -> bool {
        let now = BootTime::now();
        let mut changed = false;
        for signal in signals {
            let upstream = self.directory().get(&signal.upstream).cloned();
            let mut table = self.signals();
            let limit_before = upstream.as_ref().and_then(|u| table.limit(u));
            if !table.apply(from, signal, now) {
                continue;
            }
            drop(table);
            changed = true;
            if signal.leaving {
                self.mark_leaving(&signal.upstream, signal.started_at, "", Some(from));
            } else if signal.limit != limit_before {
                self.log_limit(&signal.upstream, signal.limit, "", Some(from));
            }
            self.signals_changed.notify_one();
        }
        changed
    }

    /// Stops the use of a process that has stated that it is shutting down.
    fn mark_leaving(
        &self,
        id: &UpstreamId,
        started_at: Option<u64>,
        request: &str,
        from: Option<&VmId>,
    ) {
        self.directory().mark_process_leaving(id, started_at);
        self.process_left.store(true, Ordering::Release);
        if self.signal_log_limiter.try_take(BootTime::now()) {
            let from = from.map_or("", VmId::as_str);
            spdlog::info!("upstream is shutting down", kv: { upstream: = id, request, from });
        }
    }

    /// Logs a changed limit, and the request or the node that it was learned from.
    fn log_limit(
        &self,
        upstream: &UpstreamId,
        limit: Option<RequestRate>,
        request: &str,
        from: Option<&VmId>,
    ) {
        if !self.signal_log_limiter.try_take(BootTime::now()) {
            return;
        }
        let from = from.map_or("", VmId::as_str);
        match limit {
            Some(limit) => {
                spdlog::info!("upstream limits its requests", kv: {
                    upstream: = upstream, limit_per_s = limit.per_second(), request, from
                });
            }
            None => {
                spdlog::info!("upstream no longer limits its requests", kv: { upstream: = upstream, request, from });
            }
        }
    }

    /// Starts to drain the node, for at most `limit`; has no effect if it is draining already.
    pub fn start_drain(&self, limit: Duration) {
        self.drain
            .get_or_init(|| Drain::new(BootTime::now(), limit));
        self.drain_started.cancel();
    }

    /// Ends the drain: requests that have no response yet are rejected.
    pub(crate) fn end_drain(&self) {
        self.drain_ended.cancel();
    }

    /// Waits until a drain begins.
    pub(crate) async fn drain_started(&self) {
        self.drain_started.cancelled().await;
    }

    /// Waits until a drain has ended with requests unanswered.
    pub(crate) async fn drain_ended(&self) {
        self.drain_ended.cancelled().await;
    }

    /// The drain in progress, if the node is draining.
    #[must_use]
    pub fn active_drain(&self) -> Option<&Drain> {
        self.drain.get()
    }

    /// Whether callers should send requests to this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        // A node that has only the state of an earlier version would send requests to evacuated data centres.
        let knows_evacuations =
            self.evacuations_learned.load(Ordering::Acquire) || !self.has_missed_evacuations();
        self.drain.get().is_none()
            && self.config.load().is_some()
            && self.is_fresh()
            && knows_evacuations
    }
}

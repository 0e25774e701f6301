//! [`Discovery`].

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rand::RngExt;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    BootTime, DataCentreName, DiscoveryError, DiscoverySource, DiscoveryUpdate, EvacuationChange,
    NodeState, PeerStateSource, StorePosition, Upstream, UpstreamChange, UpstreamId,
    upstream_directory::MISSING_ENTRY_GRACE,
};

/// How long a watch request waits for changes: about a third of the usual limit on the age of evidence.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// The same on a node that others follow. Evidence counts from the sending of a request, so it is twice as old when
/// the next response arrives.
const FOLLOWED_WATCH_WAIT: Duration = Duration::from_millis(400);
/// Age of the evidence above which a node no longer follows a peer: two waits, a heartbeat interval and network
/// delay. Together with [`PEER_CHECK_INTERVAL`] it must stay below the time in which upstreams drain.
const FOLLOWED_EVIDENCE_MAX_AGE: Duration = Duration::from_millis(1_600);
/// The same while a peer confirms that the state is current, so that only few nodes poll the store often.
const CONFIRMED_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Age up to which evidence from a peer counts as a confirmation; spans several heartbeats.
const PEER_CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(1_600);
/// Interval between checks that a peer still confirms the state.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Consecutive checks without a confirmation after which a node turns to the store. A single one may be due to a
/// change that has not arrived here yet.
const MAX_FAILED_CHECKS: u32 = 2;
/// Age of the evidence above which a node polls the store itself, even if a peer confirms the state.
const CONFIRMED_EVIDENCE_MAX_AGE: Duration = Duration::from_millis(2_600);
/// Delay after a response with changes. Further changes often follow, and the next response then contains all
/// of them. Small compared with the seconds within which a change must be applied.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Time allowed for the response beyond the wait of a watch request.
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Time limit for reading the full state.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Base and maximum of the exponential delay after a failed request.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(600));
/// Maximum of that delay on a node that may follow a peer: the peer's next heartbeat shows when the store responds
/// again, and most nodes of a large fleet would otherwise ask it in vain twice a second. Below the limit on the age of
/// evidence, for nodes that have lost their peers.
const FOLLOWER_MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// Time over which the nodes of a large fleet spread their reads of the full state in a new era. No response counts as
/// evidence for longer than that, so it costs nothing.
const NEW_ERA_READ_SPREAD: Duration = Duration::from_millis(1_000);
/// Minimum interval between requests for the full state of a peer.
const PEER_STATE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which a node that has just started waits for its peers before it trusts the store. Peers that run answer
/// within some tens of milliseconds; if all start at once, none has an answer, and callers wait.
const NEWER_CONFIG_TIMEOUT: Duration = Duration::from_millis(100);
/// Consecutive failures that count as an outage of the store. A single one may be an interrupted watch
/// request.
const OUTAGE_FAILURES: u32 = 2;

/// Keeps a node's configuration and upstreams up to date with the discovery store.
///
/// While the store does not respond, the state is copied from a peer.
pub struct Discovery {
    source: Arc<dyn DiscoverySource>,
    state: Arc<NodeState>,
    changed: Arc<Notify>,
    last_position: Option<StorePosition>,
    consecutive_failures: u32,
    /// Consecutive failures that count as an outage: [`OUTAGE_FAILURES`], or one if this node did not read the store
    /// itself before.
    failures_of_outage: u32,
    /// Whether the next watch request must not wait for changes.
    poll_immediately: bool,
    peers: Option<Arc<dyn PeerStateSource>>,
    /// When the full state was last requested from a peer.
    last_peer_request: Option<BootTime>,
    /// Whether peers have been asked for a newer configuration than the first one of the store.
    has_asked_peers: bool,
}

impl Discovery {
    /// Creates a task that updates `state` and notifies `changed` after each change.
    #[must_use]
    pub fn new(
        source: Arc<dyn DiscoverySource>,
        state: Arc<NodeState>,
        changed: Arc<Notify>,
    ) -> Self {
        Self {
            source,
            state,
            changed,
            last_position: None,
            consecutive_failures: 0,
            failures_of_outage: OUTAGE_FAILURES,
            poll_immediately: false,
            peers: None,
            last_peer_request: None,
            has_asked_peers: false,
        }
    }

    /// Sets the peers whose state is copied while the store does not respond.
    #[must_use]
    pub fn with_peers(self, peers: Arc<dyn PeerStateSource>) -> Self {
        Self {
            peers: Some(peers),
            ..self
        }
    }

    /// Watches the store and applies its updates; never returns.
    pub async fn run(mut self) {
        loop {
            self.follow_peer().await;
            let requested_at = BootTime::now();
            let result = self.fetch_update().await;
            if let Ok((update, _)) = &result
                && !self.has_asked_peers
            {
                self.has_asked_peers = true;
                self.learn_newer_config(update).await;
            }
            self.poll_immediately = false;
            self.detect_store_recovery(requested_at, result.is_ok());
            match result {
                Ok((update, _)) if update.position.era < self.state.position().era => {
                    let e = DiscoveryError::Failed {
                        step: "read store",
                        cause: format!("response of an earlier era, at {}", update.position),
                    };
                    self.back_off_after_failure(&e).await;
                }
                Ok((update, is_snapshot)) => {
                    self.consecutive_failures = 0;
                    let more_may_follow = !update.upstreams.is_empty()
                        || !update.evacuations.is_empty()
                        || update.config.is_some();
                    self.apply_update(update, is_snapshot);
                    if is_snapshot {
                        self.state.note_evacuations(true);
                    }
                    self.state.confirm(requested_at);
                    if more_may_follow {
                        sleep(CHANGE_BATCH_DELAY).await;
                    }
                }
                Err(DiscoveryError::PositionExpired) => {
                    spdlog::info!(
                        "changes since the last position are gone or too large; reading the full state"
                    );
                    self.last_position = None;
                }
                Err(DiscoveryError::EraBegan) => self.prepare_for_new_era().await,
                Err(DiscoveryError::PeerConfirmationLost) => {
                    spdlog::info!("no peer confirms that the state is current; polling the store");
                    self.poll_immediately = true;
                }
                Err(e) => {
                    self.back_off_after_failure(&e).await;
                    self.fetch_state_from_peer().await;
                }
            }
            self.remove_expired();
        }
    }

    /// Applies the changes that a peer passes on, for as long as its evidence is recent; returns at once if this
    /// node should read the store itself.
    ///
    /// In a large fleet only the seeds read the store, so that its load does not grow with the fleet.
    async fn follow_peer(&mut self) {
        let mut following = false;
        let mut failed_checks = 0;
        while self.may_follow() {
            let evidence = self.state.recent_peer_evidence(PEER_CONFIRMATION_MAX_AGE);
            let own_era = self.state.position().era;
            if evidence.is_some_and(|evidence| evidence.position.era > own_era) {
                self.prepare_for_new_era().await;
                break;
            }
            if evidence.is_some_and(|evidence| self.state.is_behind(evidence))
                && !self.apply_peer_changes().await
            {
                break;
            }
            let followed = evidence.is_some();
            failed_checks = if followed { 0 } else { failed_checks + 1 };
            let is_recent = self
                .state
                .evidence_age()
                .is_some_and(|age| age <= FOLLOWED_EVIDENCE_MAX_AGE);
            if !(is_recent || self.awaits_evidence_of_new_era())
                || failed_checks == MAX_FAILED_CHECKS
                || (failed_checks > 0 && !following)
            {
                break;
            }
            if !following {
                following = true;
                // The peer passes on the grace period after an outage; the next own request must not begin another.
                self.consecutive_failures = 0;
                spdlog::info!("following a peer in place of the store", kv: { position: = self.state.position() });
            }
            self.remove_expired();
            // Evidence arrives with each heartbeat.
            let _ = timeout(PEER_CHECK_INTERVAL, self.state.peer_evidence_recorded()).await;
        }
        if following {
            self.failures_of_outage = 1;
            self.poll_immediately = true;
            spdlog::info!("no longer following a peer; polling the store", kv: { position: = self.state.position() });
        }
    }

    /// Whether no node can have evidence yet, or it may still be on its way, as the store has just begun a new era.
    fn awaits_evidence_of_new_era(&self) -> bool {
        let rewrite_end = self.state.history().rewrite_end();
        rewrite_end.is_some_and(|end| BootTime::now() < end.after(PEER_CONFIRMATION_MAX_AGE))
    }

    /// Makes the next request one for the full state. Nodes that follow a peer wait a random time first, since all of a
    /// large fleet learn of a new era at once.
    async fn prepare_for_new_era(&mut self) {
        let spread = if self.may_follow() {
            NEW_ERA_READ_SPREAD
        } else {
            Duration::ZERO
        };
        self.last_position = None;
        let delay = spread.mul_f64(rand::rng().random_range(0.0..1.0));
        sleep(delay).await;
    }

    fn may_follow(&self) -> bool {
        let has_state = self.last_position.is_some() && self.state.config().is_some();
        has_state && self.peers.as_ref().is_some_and(|peers| peers.may_follow())
    }

    /// Fetches the changes that a peer has seen and this node has not; returns whether it has them now.
    async fn apply_peer_changes(&mut self) -> bool {
        let (Some(peers), Some(after)) = (&self.peers, self.last_position) else {
            return false;
        };
        let Some(own_config) = self.state.config() else {
            return false;
        };
        let fetched = peers.fetch_changes(after, own_config.version()).await;
        let Some((requested_at, changes)) = fetched else {
            return false;
        };
        let evidence = changes.evidence;
        if evidence.position < after || evidence.position.era != after.era {
            return false;
        }
        let config = match changes.config.map(|delta| own_config.with_delta(delta)) {
            Some(None) => return false,
            Some(config) => config.map(|config| config.with_cold_limits_of(&own_config)),
            None => None,
        };
        // An earlier version advances past evacuations without passing them on.
        let Some(evacuations) = changes.evacuations else {
            return false;
        };
        if changes.missing_grace_ms > 0 {
            let grace = Duration::from_millis(changes.missing_grace_ms);
            self.state
                .extend_missing_grace(BootTime::now().after(grace));
        }
        let update = DiscoveryUpdate {
            position: evidence.position,
            config,
            upstreams: changes.upstreams,
            evacuations,
        };
        self.apply_update(update, false);
        self.state.record_peer_evidence(requested_at, evidence)
    }

    /// Requests changes, or the full state if no revision is known. The flag is `true` for the full state.
    async fn fetch_update(&self) -> Result<(DiscoveryUpdate, bool), DiscoveryError> {
        let timed_out = |step| {
            move |_| DiscoveryError::Failed {
                step,
                cause: "request timed out".to_owned(),
            }
        };
        match self.last_position {
            Some(after) => {
                // After a failure, a request without a wait shows at once whether the store is available
                // again.
                let immediately = self.poll_immediately || self.consecutive_failures > 0;
                let wait = if immediately {
                    Duration::ZERO
                } else {
                    self.watch_wait()
                };
                let watch = timeout(
                    wait + WATCH_RESPONSE_MARGIN,
                    self.source.changes(after, wait),
                );
                let result = tokio::select! {
                    result = watch => result,
                    () = self.peer_confirmation_lost(), if wait > WATCH_WAIT => {
                        return Err(DiscoveryError::PeerConfirmationLost);
                    }
                };
                Ok((result.map_err(timed_out("await changes"))??, false))
            }
            None => {
                let result = timeout(SNAPSHOT_TIMEOUT, self.source.snapshot()).await;
                Ok((result.map_err(timed_out("read whole state"))??, true))
            }
        }
    }

    /// How long the next watch request waits for changes; not beyond the grace period of missing entries.
    fn watch_wait(&self) -> Duration {
        let now = BootTime::now();
        match self.state.missing_grace_end() {
            Some(end) => end.since(now).min(WATCH_WAIT),
            None if self.is_confirmed_by_peer() => CONFIRMED_WATCH_WAIT,
            None if self.peers.as_ref().is_some_and(|peers| peers.is_followed()) => {
                FOLLOWED_WATCH_WAIT
            }
            None => WATCH_WAIT,
        }
    }

    /// Whether recent evidence shows that this node has all changes that a peer has seen.
    fn is_confirmed_by_peer(&self) -> bool {
        let evidence = self.state.recent_peer_evidence(PEER_CONFIRMATION_MAX_AGE);
        let is_recent = self
            .state
            .evidence_age()
            .is_some_and(|age| age <= CONFIRMED_EVIDENCE_MAX_AGE);
        is_recent && evidence.is_some_and(|evidence| !self.state.is_behind(evidence))
    }

    /// Completes when [`MAX_FAILED_CHECKS`] consecutive checks find no confirmation by a peer.
    async fn peer_confirmation_lost(&self) {
        let mut failed_checks = 0;
        while failed_checks < MAX_FAILED_CHECKS {
            sleep(PEER_CHECK_INTERVAL).await;
            failed_checks = if self.is_confirmed_by_peer() {
                0
            } else {
                failed_checks + 1
            };
        }
    }

    async fn back_off_after_failure(&mut self, e: &DiscoveryError) {
        if self.consecutive_failures == 0 {
            spdlog::warn!("discovery store unavailable", kv: { error: = e, position: = self.last_position.unwrap_or_default() });
        }
        self.consecutive_failures += 1;
        let delay = BACKOFF_RANGE.0 * (1 << self.consecutive_failures.min(5));
        if !self.may_follow() {
            sleep(delay.min(BACKOFF_RANGE.1)).await;
            return;
        }
        let spread = rand::rng().random_range(0.8..1.2);
        let delay = delay.min(FOLLOWER_MAX_BACKOFF).mul_f64(spread);
        let _ = timeout(delay, self.peer_has_store()).await;
    }

    /// Completes when evidence from a peer shows that the store responds to it.
    async fn peer_has_store(&self) {
        loop {
            self.state.peer_evidence_recorded().await;
            let evidence = self.state.recent_peer_evidence(PEER_CONFIRMATION_MAX_AGE);
            let max_age = FOLLOWED_WATCH_WAIT + PEER_CHECK_INTERVAL;
            if evidence.is_some_and(|e| Duration::from_millis(e.age_ms) <= max_age) {
                return;
            }
        }
    }

    /// Copies the state of a peer if the store stays unavailable to this node and the peer has a later
    /// revision.
    ///
    /// The store may reject the requests of some nodes and serve others.
    async fn fetch_state_from_peer(&mut self) {
        let now = BootTime::now();
        let requested_recently = |at: &BootTime| now.since(*at) < PEER_STATE_INTERVAL;
        if self.consecutive_failures < OUTAGE_FAILURES
            || self
                .last_peer_request
                .as_ref()
                .is_some_and(requested_recently)
        {
            return;
        }
        let has_missed_evacuations = self.state.has_missed_evacuations();
        if self.state.config().is_some() && self.is_confirmed_by_peer() && !has_missed_evacuations {
            return;
        }
        let Some(peers) = &self.peers else {
            return;
        };
        self.last_peer_request = Some(now);
        let Some((requested_at, peer)) = peers.fetch_state().await else {
            return;
        };
        let evidence = peer.evidence;
        let completes = has_missed_evacuations
            && peer.evacuated.is_some()
            && evidence.position == self.state.position();
        if evidence.position > self.state.position() || completes {
            spdlog::info!("state copied from a peer", kv: {
                version = evidence.version, position: = evidence.position, age_ms = evidence.age_ms,
                evacuations_known = peer.evacuated.is_some()
            });
            let evacuations_known = peer.evacuated.is_some();
            let evacuated = peer
                .evacuated
                .unwrap_or_else(|| self.state.directory().evacuated().cloned().collect());
            let config = match self.state.config() {
                Some(own) => peer.config.with_cold_limits_of(&own),
                None => peer.config,
            };
            let update = DiscoveryUpdate {
                position: evidence.position,
                config: Some(config),
                upstreams: peer
                    .upstreams
                    .into_iter()
                    .map(UpstreamChange::Put)
                    .collect(),
                evacuations: evacuated.into_iter().map(EvacuationChange::Begun).collect(),
            };
            self.apply_update(update, true);
            self.state.note_evacuations(evacuations_known);
            if !evacuations_known {
                // The full state is read as soon as the store answers.
                self.last_position = None;
            }
        }
        self.state.record_peer_evidence(requested_at, evidence);
    }

    /// Takes the configuration of a peer if it is newer than the one in the first response of the store. The store may have
    /// returned from a copy that lacks it, which a node that has just started can't see. A store that states no era does not
    /// return from copies, so that there is nothing to wait for.
    async fn learn_newer_config(&self, update: &DiscoveryUpdate) {
        let Some(peers) = self.peers.as_ref().filter(|_| update.position.era > 0) else {
            return;
        };
        let version = update.config.as_ref().map_or(0, |config| config.version());
        let fetched = peers.fetch_newer_state(update.position, version);
        let fetched = timeout(NEWER_CONFIG_TIMEOUT, fetched).await;
        if let Ok(Some((requested_at, peer))) = fetched {
            spdlog::warn!("the store lacks the newest configuration; taking it from a peer", kv: {
                version = peer.evidence.version, store_version = version, position: = update.position
            });
            if self.state.apply_config(peer.config) {
                self.changed.notify_one();
            }
            self.state.record_peer_evidence(requested_at, peer.evidence);
        }
    }

    /// Starts the grace period for missing entries when the store responds again after an outage.
    fn detect_store_recovery(&mut self, requested_at: BootTime, succeeded: bool) {
        let was_unavailable = self.consecutive_failures >= self.failures_of_outage;
        if succeeded {
            self.failures_of_outage = OUTAGE_FAILURES;
        }
        if succeeded && was_unavailable {
            self.state
                .extend_missing_grace(requested_at.after(MISSING_ENTRY_GRACE));
            spdlog::info!("discovery store available again", kv: { failures = self.consecutive_failures });
        }
    }

    fn apply_update(&mut self, update: DiscoveryUpdate, is_snapshot: bool) {
        self.state.advance(update.position);
        let grace_end = self.state.missing_grace_end();
        let config_changed = update.config.is_some();
        if let Some(config) = &update.config {
            self.state.history().note_store_version(config.version());
        }
        match self.last_position {
            Some(from) if !is_snapshot => {
                if config_changed || !update.upstreams.is_empty() || !update.evacuations.is_empty()
                {
                    let mut log = self.state.change_log();
                    log.record(from, config_changed, &update.upstreams, &update.evacuations);
                }
            }
            _ => self.state.change_log().restart(update.position),
        }
        let mut changed = self.apply_evacuations(&update, is_snapshot, grace_end);
        changed |= update
            .config
            .is_some_and(|config| self.state.apply_config(config));
        let mut listed = HashSet::new();
        for change in update.upstreams {
            match change {
                UpstreamChange::Put(upstream) if !self.accepts_entry(&upstream, is_snapshot) => {
                    spdlog::info!("ignoring an entry that was removed before the store returned from a copy", kv: {
                        upstream: = upstream.id, position: = update.position
                    });
                }
                UpstreamChange::Put(upstream) => {
                    listed.insert(upstream.id.clone());
                    let draining = upstream.draining;
                    let id = upstream.id.clone();
                    if self.state.directory().put(upstream) {
                        changed = true;
                        spdlog::info!("upstream added or updated", kv: { upstream: = id, draining, position: = update.position });
                    }
                }
                UpstreamChange::Removed(id) => changed |= self.remove_upstream(&id, grace_end),
            }
        }
        if is_snapshot {
            let missing: Vec<_> = self
                .state
                .directory()
                .ids()
                .filter(|id| !listed.contains(id))
                .cloned()
                .collect();
            for id in missing {
                changed |= self.remove_upstream(&id, grace_end);
            }
            self.state.directory().set_complete();
        }
        self.last_position = Some(update.position);
        if changed {
            self.changed.notify_one();
        }
    }

    /// Applies the changes of evacuations; returns whether any data centre is affected.
    fn apply_evacuations(
        &self,
        update: &DiscoveryUpdate,
        is_snapshot: bool,
        grace_end: Option<BootTime>,
    ) -> bool {
        // Changes that a peer passes on may repeat earlier ones; the last one of a data centre counts.
        let changes = update.evacuations.iter();
        let latest: HashMap<_, _> = changes.map(|c| (c.data_centre(), c)).collect();
        let mut directory = self.state.directory();
        let mut changed = false;
        for (data_centre, change) in &latest {
            match change {
                EvacuationChange::Begun(_) if directory.begin_evacuation(data_centre) => {
                    changed = true;
                    spdlog::info!("evacuation began", kv: { data_centre: = data_centre, position: = update.position });
                }
                EvacuationChange::Ended(_) if directory.end_evacuation(data_centre) => {
                    changed = true;
                    log_evacuation_end(data_centre, update.position, "item removed");
                }
                _ => {}
            }
        }
        if is_snapshot {
            let in_force: Vec<_> = directory.evacuated().cloned().collect();
            for data_centre in in_force.iter().filter(|name| !latest.contains_key(name)) {
                if let Some(end) = grace_end {
                    directory.mark_evacuation_missing(data_centre, end);
                } else {
                    changed |= directory.end_evacuation(data_centre);
                    log_evacuation_end(data_centre, update.position, "item not listed");
                }
            }
        }
        changed
    }

    fn remove_upstream(&self, id: &UpstreamId, grace_end: Option<BootTime>) -> bool {
        let mut directory = self.state.directory();
        if let Some(end) = grace_end {
            directory.mark_missing(id, end);
            return false;
        }
        let started_at = directory.get(id).map(|upstream| upstream.started_at);
        let removed = directory.remove(id);
        drop(directory);
        if let Some(started_at) = started_at {
            let mut history = self.state.history();
            history.note_removed(id, started_at, BootTime::now());
            spdlog::info!("upstream removed", kv: { upstream: = id });
        }
        removed
    }

    fn accepts_entry(&self, upstream: &Upstream, is_snapshot: bool) -> bool {
        let mut history = self.state.history();
        history.accepts(&upstream.id, upstream.started_at, !is_snapshot)
    }

    /// Removes what is still missing at the end of its grace period.
    fn remove_expired(&self) {
        let now = BootTime::now();
        let ended = self.state.directory().end_expired_evacuations(now);
        for data_centre in &ended {
            log_evacuation_end(
                data_centre,
                self.state.position(),
                "item missing since the store returned",
            );
        }
        let removed = self.state.directory().remove_expired(now);
        for id in &removed {
            spdlog::info!("upstream removed", kv: { upstream: = id, reason = "entry missing since an outage of the store" });
        }
        if !removed.is_empty() || !ended.is_empty() {
            self.changed.notify_one();
        }
    }
}

fn log_evacuation_end(data_centre: &DataCentreName, position: StorePosition, reason: &str) {
    spdlog::info!("evacuation ended", kv: { data_centre: = data_centre, position: = position, reason });
}

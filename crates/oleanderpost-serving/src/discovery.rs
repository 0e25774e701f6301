//! [`Discovery`].

use std::{collections::HashSet, sync::Arc, time::Duration};

use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    BootTime, DiscoveryError, DiscoverySource, DiscoveryUpdate, NodeState, PeerStateSource,
    UpstreamChange, UpstreamId, discovery_source::Revision,
    upstream_directory::MISSING_ENTRY_GRACE,
};

/// Time for which a question about changes waits; a third of the usual limit on the age of evidence.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// The same while peers vouch for the node's knowledge, so that few nodes ask the store often.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time within which a peer must have vouched: some of its signs of life.
const PEER_RECENT: Duration = Duration::from_millis(1_600);
/// Pause between two looks at whether they still do.
const PEER_LOOK: Duration = Duration::from_millis(400);
/// Age of the evidence at which a node asks the store itself.
const PEER_EVIDENCE_AGE: Duration = Duration::from_millis(2_600);
/// Pause after an answer with changes: others often follow, and one answer then tells them all. Small against
/// the seconds within which a change must be in force.
const CHANGES_PAUSE: Duration = Duration::from_millis(250);
/// Time beyond that for the answer.
const WATCH_EXTRA: Duration = Duration::from_millis(700);
/// Time for reading the whole state.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(1_500);
/// Shortest and longest pause after a failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(600));
/// Pause between two questions to peers for all that they know.
const PEER_STATE_EVERY: Duration = Duration::from_secs(1);
/// Failures in a row after which the store counts as having been away; a single one may be a cut watch.
const AWAY_AFTER: u32 = 2;

/// Keeps a node's knowledge of configuration and upstreams current.
pub struct Discovery {
    source: Arc<dyn DiscoverySource>,
    state: Arc<NodeState>,
    changed: Arc<Notify>,
    position: Option<Revision>,
    failures: u32,
    /// Whether the next question must not wait for changes.
    urgent: bool,
    /// End of the patience with entries that are missing since the store was away.
    patience: Option<BootTime>,
    peers: Option<Arc<dyn PeerStateSource>>,
    /// When a peer was last asked for what it knows.
    peer_asked: Option<BootTime>,
}

impl Discovery {
    /// A task that feeds `state`, and notifies `changed` after each change.
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
            position: None,
            failures: 0,
            urgent: false,
            patience: None,
            peers: None,
            peer_asked: None,
        }
    }

    /// Adds peers, which are asked while the store does not answer.
    #[must_use]
    pub fn with_peers(self, peers: Arc<dyn PeerStateSource>) -> Self {
        Self {
            peers: Some(peers),
            ..self
        }
    }

    /// Follows the store, for ever.
    pub async fn run(mut self) {
        loop {
            let asked_at = BootTime::now();
            let answer = self.ask().await;
            self.urgent = false;
            self.note_return(asked_at, answer.is_ok());
            match answer {
                Ok((changes, whole)) => {
                    self.failures = 0;
                    let more_may_follow = !changes.upstreams.is_empty() || changes.config.is_some();
                    self.take(changes, whole);
                    self.state.confirm(asked_at);
                    if more_may_follow {
                        sleep(CHANGES_PAUSE).await;
                    }
                }
                Err(DiscoveryError::RevisionExpired) => {
                    spdlog::info!("history of the store is gone, reading the whole state");
                    self.position = None;
                }
                Err(DiscoveryError::PeerConfirmationLost) => {
                    spdlog::info!("no peer vouches for this node, asking the store");
                    self.urgent = true;
                }
                Err(e) => {
                    self.note_failure(&e).await;
                    self.ask_peers().await;
                }
            }
            self.expire();
        }
    }

    /// Asks for changes, or for the whole state where no position is known or the last question failed.
    async fn ask(&self) -> Result<(DiscoveryUpdate, bool), DiscoveryError> {
        let late = |step| {
            move |_| DiscoveryError::Failed {
                step,
                cause: "no answer in time".to_owned(),
            }
        };
        match self.position {
            Some(after) => {
                // After a failure a short question tells at once whether the store is back.
                let at_once = self.urgent || self.failures > 0;
                let wait = if at_once {
                    Duration::ZERO
                } else {
                    self.watch_wait()
                };
                let watch = timeout(wait + WATCH_EXTRA, self.source.changes(after, wait));
                let asked = tokio::select! {
                    asked = watch => asked,
                    () = self.peers_stop_vouching(), if wait > WATCH_WAIT => {
                        return Err(DiscoveryError::PeerConfirmationLost);
                    }
                };
                Ok((asked.map_err(late("await changes"))??, false))
            }
            None => {
                let asked = timeout(SNAPSHOT_LIMIT, self.source.snapshot()).await;
                Ok((asked.map_err(late("read whole state"))??, true))
            }
        }
    }

    /// Time for which the next question about changes waits: no longer than the patience with missing entries.
    fn watch_wait(&self) -> Duration {
        let now = BootTime::now();
        let patience = self.patience.filter(|until| *until > now);
        match patience {
            Some(until) => until.since(now).min(WATCH_WAIT),
            None if self.is_vouched_for() => LONG_WATCH_WAIT,
            None => WATCH_WAIT,
        }
    }

    /// Whether a peer that asks the store itself says that this node misses nothing.
    fn is_vouched_for(&self) -> bool {
        let peer = self.state.recent_peer_evidence(PEER_RECENT);
        let fresh = self
            .state
            .evidence_age()
            .is_some_and(|age| age <= PEER_EVIDENCE_AGE);
        fresh && peer.is_some_and(|peer| !self.state.is_behind(peer))
    }

    /// Ends when no peer has vouched for this node twice in a row: a change takes a moment to arrive.
    async fn peers_stop_vouching(&self) {
        let mut missed = 0;
        while missed < 2 {
            sleep(PEER_LOOK).await;
            missed = if self.is_vouched_for() { 0 } else { missed + 1 };
        }
    }

    async fn note_failure(&mut self, e: &DiscoveryError) {
        if self.failures == 0 {
            spdlog::warn!("store lost", kv: { error: = e, revision = self.position.unwrap_or(0) });
        }
        self.failures += 1;
        let pause = BACKOFF.0 * (1 << self.failures.min(4));
        sleep(pause.min(BACKOFF.1)).await;
    }

    /// Takes over what a peer knows if the store stays away from this node and the peer knows more.
    ///
    /// The store may turn away some nodes and serve others.
    async fn ask_peers(&mut self) {
        let now = BootTime::now();
        let recent = |at: &BootTime| now.since(*at) < PEER_STATE_EVERY;
        if self.failures < AWAY_AFTER || self.peer_asked.as_ref().is_some_and(recent) {
            return;
        }
        if self.state.config().is_some() && self.is_vouched_for() {
            return;
        }
        let Some(peers) = &self.peers else {
            return;
        };
        self.peer_asked = Some(now);
        let Some((asked_at, peer)) = peers.fetch_state().await else {
            return;
        };
        let evidence = peer.evidence;
        if evidence.revision > self.state.revision() {
            spdlog::info!("knowledge of a peer taken over", kv: {
                version = evidence.version, revision = evidence.revision, age_ms = evidence.age_ms
            });
            let changes = DiscoveryUpdate {
                revision: evidence.revision,
                config: Some(peer.config),
                upstreams: peer
                    .upstreams
                    .into_iter()
                    .map(UpstreamChange::Put)
                    .collect(),
            };
            self.take(changes, true);
        }
        self.state.record_peer_evidence(asked_at, evidence);
    }

    /// Starts the patience with missing entries when the store answers again after an outage.
    fn note_return(&mut self, asked_at: BootTime, answered: bool) {
        let away = self.failures >= AWAY_AFTER;
        if answered && away {
            self.patience = Some(asked_at.after(MISSING_ENTRY_GRACE));
            spdlog::info!("store is back", kv: { failures = self.failures });
        }
    }

    fn take(&mut self, changes: DiscoveryUpdate, whole: bool) {
        let now = BootTime::now();
        let patience = self.patience.filter(|until| *until > now);
        let mut changed = changes
            .config
            .is_some_and(|deployment| self.state.apply_config(deployment));
        let mut listed = HashSet::new();
        for change in changes.upstreams {
            match change {
                UpstreamChange::Put(upstream) => {
                    listed.insert(upstream.id.clone());
                    let draining = upstream.draining;
                    let id = upstream.id.clone();
                    if self.state.directory().put(upstream) {
                        changed = true;
                        spdlog::info!("upstream known", kv: { upstream: = id, draining, revision = changes.revision });
                    }
                }
                UpstreamChange::Removed(id) => changed |= self.remove(&id, patience),
            }
        }
        if whole {
            let missing: Vec<_> = self
                .state
                .directory()
                .ids()
                .filter(|id| !listed.contains(id))
                .cloned()
                .collect();
            for id in missing {
                changed |= self.remove(&id, patience);
            }
        }
        self.position = Some(changes.revision);
        self.state.set_revision(changes.revision);
        if changed {
            self.changed.notify_one();
        }
    }

    fn remove(&self, id: &UpstreamId, patience: Option<BootTime>) -> bool {
        let mut directory = self.state.directory();
        if let Some(until) = patience {
            directory.mark_missing(id, until);
            return false;
        }
        let removed = directory.remove(id);
        if removed {
            spdlog::info!("upstream gone", kv: { upstream: = id });
        }
        removed
    }

    fn expire(&self) {
        let gone = self.state.directory().remove_expired(BootTime::now());
        for id in &gone {
            spdlog::info!("upstream gone", kv: { upstream: = id, reason = "missing since the store was away" });
        }
        if !gone.is_empty() {
            self.changed.notify_one();
        }
    }
}

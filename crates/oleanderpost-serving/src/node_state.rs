//! [`NodeState`].

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

use crate::{
    BootTime, Drain, Evidence, PeerEvidence, PeerState, ServiceName, ServingConfig, Upstream,
    UpstreamDirectory, UpstreamId,
};

/// What a node knows: the configuration in force, the upstreams, and how fresh its knowledge is.
pub struct NodeState {
    config: ArcSwapOption<ServingConfig>,
    directory: Mutex<UpstreamDirectory>,
    evidence: Mutex<Evidence>,
    evidence_limit: Duration,
    drain: OnceLock<Drain>,
    /// Position of the store up to which changes are known.
    revision: AtomicU64,
    /// What the latest peer said, and when it was asked.
    peer: Mutex<Option<(BootTime, PeerEvidence)>>,
    /// Wakes those that wait for the first configuration.
    known: Notify,
}

impl NodeState {
    /// A node that knows nothing yet; keys need evidence of at most `evidence_limit`.
    #[must_use]
    pub fn new(evidence_limit: Duration) -> Self {
        Self {
            config: ArcSwapOption::empty(),
            directory: Mutex::default(),
            evidence: Mutex::default(),
            evidence_limit,
            drain: OnceLock::new(),
            revision: AtomicU64::new(0),
            peer: Mutex::default(),
            known: Notify::new(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<ServingConfig>> {
        self.config.load_full()
    }

    /// Puts a configuration in force, if it is newer than the present one.
    pub fn apply_config(&self, deployment: ServingConfig) -> bool {
        let old = self.config();
        if old
            .as_ref()
            .is_some_and(|old| old.version() >= deployment.version())
        {
            return false;
        }
        spdlog::info!("configuration in force", kv: {
            version = deployment.version(), before = old.map_or(0, |old| old.version())
        });
        self.config.store(Some(Arc::new(deployment)));
        self.known.notify_waiters();
        true
    }

    /// Waits until there is a configuration.
    pub async fn wait_for_config(&self) {
        let known = self.known.notified();
        if self.config.load().is_none() {
            known.await;
        }
    }

    /// Notes that the store answered a question sent at `asked_at`, and that its answer was taken in.
    pub fn confirm(&self, asked_at: BootTime) {
        self.evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .confirm(asked_at);
    }

    /// Notes the position of the store up to which changes are known.
    pub fn set_revision(&self, revision: u64) {
        self.revision.store(revision, Ordering::Release);
    }

    /// Position of the store up to which changes are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// What this node can tell others; `None` without any evidence.
    #[must_use]
    pub fn evidence_for_peers(&self) -> Option<PeerEvidence> {
        let age = self.evidence_age()?;
        Some(PeerEvidence {
            version: self.config()?.version(),
            age_ms: u64::try_from(age.as_millis()).ok()? + 1,
            revision: self.revision(),
        })
    }

    /// All that this node knows; `None` without a configuration.
    #[must_use]
    pub fn state_for_peers(&self) -> Option<PeerState> {
        let evidence = self.evidence_for_peers()?;
        let deployment = self.config()?;
        let directory = self.directory();
        let known = directory.ids().filter_map(|id| directory.get(id));
        let upstreams = known.map(|upstream| Upstream {
            draining: !directory.is_usable(&upstream.id),
            ..Upstream::clone(upstream)
        });
        Some(PeerState {
            evidence,
            config: ServingConfig::clone(&deployment),
            upstreams: upstreams.collect(),
        })
    }

    /// Takes a peer's evidence, asked for at `asked_at`; `true` if it says that this node is current.
    ///
    /// It counts only if this node has that version or a newer one. Its age counts from the sending of the
    /// question, so that the way of the answer makes it older, never younger.
    pub fn record_peer_evidence(&self, asked_at: BootTime, peer: PeerEvidence) -> bool {
        *self.peer.lock().unwrap_or_else(PoisonError::into_inner) = Some((asked_at, peer));
        let own = self.config().map_or(0, |deployment| deployment.version());
        if own < peer.version {
            return false;
        }
        self.confirm(asked_at.before(Duration::from_millis(peer.age_ms)));
        true
    }

    /// What a peer said within `span`.
    #[must_use]
    pub fn recent_peer_evidence(&self, span: Duration) -> Option<PeerEvidence> {
        let peer = *self.peer.lock().unwrap_or_else(PoisonError::into_inner);
        peer.filter(|(at, _)| BootTime::now().since(*at) <= span)
            .map(|(_, peer)| peer)
    }

    /// Whether a peer has seen changes of the store that this node has not.
    #[must_use]
    pub fn is_behind(&self, peer: PeerEvidence) -> bool {
        let version = self.config().map_or(0, |deployment| deployment.version());
        version < peer.version || self.revision() < peer.revision
    }

    /// Age of the evidence.
    #[must_use]
    pub fn evidence_age(&self) -> Option<Duration> {
        self.evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .age(BootTime::now())
    }

    /// Whether the evidence lets keys pass.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.evidence_age()
            .is_some_and(|age| age <= self.evidence_limit)
    }

    /// The upstreams, for reading or a change.
    pub fn directory(&self) -> MutexGuard<'_, UpstreamDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstreams of a service that take new requests.
    #[must_use]
    pub fn usable_upstreams(&self, service: &ServiceName) -> Vec<Arc<Upstream>> {
        self.directory().usable(service).cloned().collect()
    }

    /// The upstream, if it takes new requests.
    #[must_use]
    pub fn usable_upstream(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        let directory = self.directory();
        directory
            .is_usable(id)
            .then(|| directory.get(id).cloned())
            .flatten()
    }

    /// Begins the last phase of the node, which ends after `limit`.
    pub fn start_drain(&self, limit: Duration) {
        self.drain
            .get_or_init(|| Drain::new(BootTime::now(), limit));
    }

    /// The last phase of the node, once it has begun.
    #[must_use]
    pub fn active_drain(&self) -> Option<&Drain> {
        self.drain.get()
    }

    /// Whether callers should come to this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.drain.get().is_none() && self.config.load().is_some() && self.is_fresh()
    }
}

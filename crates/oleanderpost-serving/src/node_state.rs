//! [`NodeState`].

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;

use crate::{BootTime, Deployment, Directory, Drain, Evidence, ServiceName, Upstream, UpstreamId};

/// What a node knows: the configuration in force, the upstreams, and how fresh its knowledge is.
pub struct NodeState {
    deployment: ArcSwapOption<Deployment>,
    directory: Mutex<Directory>,
    evidence: Mutex<Evidence>,
    evidence_limit: Duration,
    drain: OnceLock<Drain>,
    /// Wakes those that wait for the first configuration.
    known: Notify,
}

impl NodeState {
    /// A node that knows nothing yet; keys need evidence of at most `evidence_limit`.
    #[must_use]
    pub fn new(evidence_limit: Duration) -> Self {
        Self {
            deployment: ArcSwapOption::empty(),
            directory: Mutex::default(),
            evidence: Mutex::default(),
            evidence_limit,
            drain: OnceLock::new(),
            known: Notify::new(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn deployment(&self) -> Option<Arc<Deployment>> {
        self.deployment.load_full()
    }

    /// Puts a configuration in force, if it is newer than the present one.
    pub fn apply(&self, deployment: Deployment) -> bool {
        let old = self.deployment();
        if old
            .as_ref()
            .is_some_and(|old| old.version() >= deployment.version())
        {
            return false;
        }
        spdlog::info!("configuration in force", kv: {
            version = deployment.version(), before = old.map_or(0, |old| old.version())
        });
        self.deployment.store(Some(Arc::new(deployment)));
        self.known.notify_waiters();
        true
    }

    /// Waits until there is a configuration.
    pub async fn wait_until_known(&self) {
        let known = self.known.notified();
        if self.deployment.load().is_none() {
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
    pub fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstreams of a service that take new requests.
    #[must_use]
    pub fn usable(&self, service: &ServiceName) -> Vec<Arc<Upstream>> {
        self.directory().usable(service).cloned().collect()
    }

    /// The upstream, if it takes new requests.
    #[must_use]
    pub fn upstream(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        let directory = self.directory();
        directory
            .is_usable(id)
            .then(|| directory.get(id).cloned())
            .flatten()
    }

    /// Begins the last phase of the node, which ends after `limit`.
    pub fn drain(&self, limit: Duration) {
        self.drain
            .get_or_init(|| Drain::new(BootTime::now(), limit));
    }

    /// The last phase of the node, once it has begun.
    #[must_use]
    pub fn draining(&self) -> Option<&Drain> {
        self.drain.get()
    }

    /// Whether callers should come to this node.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.drain.get().is_none() && self.deployment.load().is_some() && self.is_fresh()
    }
}

//! [`Convergence`].

use std::sync::{Arc, Mutex};

use oleanderpost_types::{FileName, VmId};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{
    ConfigCounters, ConfigMessage, ConfigStatus, ConvergenceBuilder, FleetStatus, Snapshot,
    Version, gossip, ingest, message_handler, reporter,
    shared::{PendingOffer, Shared, lock},
    startup, survey, watcher,
};

/// Brings the accepted files of the operators into force on this node, together with its peers.
///
/// Clones share one state.
#[derive(Clone)]
pub struct Convergence {
    shared: Arc<Shared>,
    offers: Arc<Mutex<Option<mpsc::Receiver<PendingOffer>>>>,
}

impl std::fmt::Debug for Convergence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Convergence")
            .field("vm", &self.shared.vm)
            .finish_non_exhaustive()
    }
}

impl Convergence {
    /// Starts to build one.
    #[must_use]
    pub fn builder() -> ConvergenceBuilder {
        ConvergenceBuilder::new()
    }

    pub(crate) fn new(shared: Shared, offers: mpsc::Receiver<PendingOffer>) -> Self {
        Self {
            shared: Arc::new(shared),
            offers: Arc::new(Mutex::new(Some(offers))),
        }
    }

    /// Starts the tasks. It asks the configuration service and a few peers first; [`Self::ready`] says
    /// when that is done. A second call does nothing.
    pub fn run(&self) {
        let Some(offers) = lock(&self.offers).take() else {
            return;
        };
        let shared = &self.shared;
        self.spawn(ingest::run(shared.clone(), offers));
        self.spawn(gossip::run_pushes(shared.clone()));
        self.spawn(gossip::run_syncs(shared.clone()));
        self.spawn(reporter::run(shared.clone()));
        self.spawn(startup::run(shared.clone()));
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.shared.stop.clone();
        self.shared.tasks.spawn(async move {
            let _ = stop.run_until_cancelled(task).await;
        });
    }

    /// Stops the tasks of all clones and waits for their end.
    pub async fn close(self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }

    /// The configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.snapshot.borrow().clone()
    }

    /// The configuration in force, with its changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.shared.snapshot.subscribe()
    }

    /// Whether the configuration service and the peers have been asked since the start.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.shared.ready.subscribe()
    }

    /// Version of a file in force, if there is one.
    #[must_use]
    pub fn version(&self, name: &FileName) -> Option<Version> {
        self.shared.store().digest(name)?.accepted
    }

    /// When the configuration service last answered this node, or a peer last compared all files with
    /// it; `None` before the first time. Who acts on the configuration can tell by it how old it may be.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.shared.confirmed_at()
    }

    /// State on this node.
    #[must_use]
    pub fn status(&self) -> ConfigStatus {
        let (files, overlaps, held) = {
            let store = self.shared.store();
            (store.statuses(), store.overlaps(), store.held_bytes())
        };
        ConfigStatus {
            vm: self.shared.vm.clone(),
            ready: *self.shared.ready.borrow(),
            watching: watcher::is_watching(&self.shared),
            source_age: survey::source_age(&self.shared),
            files,
            overlaps,
            held_bytes: held as u64,
            counters: self.counters(),
        }
    }

    /// State on the whole fleet, from what each node reported to the watchers of its data centre: one
    /// question a data centre. A report is as old as [`FleetStatus::age`].
    pub async fn fleet_status(&self, file: Option<FileName>) -> FleetStatus {
        survey::fleet_status(&self.shared, file).await
    }

    /// What it has cost this node.
    #[must_use]
    pub fn counters(&self) -> ConfigCounters {
        *self.shared.counters()
    }

    /// Answers a message of a peer. A message that is itself an answer has none.
    #[must_use]
    pub fn handle(&self, from: &VmId, msg: ConfigMessage) -> Option<ConfigMessage> {
        let mechanism = msg.mechanism();
        self.shared.clear_suspect(from);
        self.shared.counters().received(mechanism, &msg);
        let answer = message_handler::handle(&self.shared, from, msg)?;
        self.shared.counters().sent(mechanism, &answer);
        Some(answer)
    }
}

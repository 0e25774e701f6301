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

/// Keeps the configuration of this node up to date with the operators' files, together with its peers.
///
/// Clones share their state.
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
    /// Returns a builder.
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

    /// Starts the background tasks. They first read from the configuration service and a few peers;
    /// [`Self::ready`] becomes true when that is done. A second call does nothing.
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

    /// Stops the background tasks, which all clones share, and waits until they end.
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

    /// Watches the configuration in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.shared.snapshot.subscribe()
    }

    /// Watches whether the initial reads from the configuration service and the peers are done.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.shared.ready.subscribe()
    }

    /// Version of a file in force, if there is one.
    #[must_use]
    pub fn version(&self, name: &FileName) -> Option<Version> {
        self.shared.store().digest(name)?.accepted
    }

    /// Time of the last response of the configuration service to this node, or of the last complete
    /// comparison with a peer; `None` before the first one. Shows how old the configuration may be.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.shared.confirmed_at()
    }

    /// State of the configuration on this node.
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

    /// State of the configuration in the whole fleet, from the reports of the nodes to the watchers of their
    /// data centres. Sends one request to each data centre. Reports may be as old as [`FleetStatus::age`].
    pub async fn fleet_status(&self, file: Option<FileName>) -> FleetStatus {
        survey::fleet_status(&self.shared, file).await
    }

    /// Counters of this node since its start.
    #[must_use]
    pub fn counters(&self) -> ConfigCounters {
        *self.shared.counters()
    }

    /// Handles a message from a peer and returns the response. Responses themselves have no response.
    #[must_use]
    pub fn handle(&self, from: &VmId, msg: ConfigMessage) -> Option<ConfigMessage> {
        let mechanism = msg.mechanism();
        self.shared.clear_suspect(from);
        self.shared.counters().received(mechanism, &msg);
        let response = message_handler::handle(&self.shared, from, msg)?;
        self.shared.counters().sent(mechanism, &response);
        Some(response)
    }
}

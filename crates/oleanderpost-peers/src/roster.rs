//! [`Roster`].

use std::{net::SocketAddr, sync::Arc};

use oleanderpost_types::{Revision, Vm, VmId, VmList, VmRole};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    AddressBook, Error, LeavingMark, ListObserver, MarkScope, Reachability, Result, RosterCounters,
    RosterMessage, RosterTransport, RosterView,
    gossip::{self},
    roster_core::{ExchangeHint, RosterCore},
    watcher,
};

/// A node's view of the fleet: the platform's VM list, leaving marks, and the reachability of peers.
///
/// The list is authoritative for which VMs exist. Reachability is only what this node observed itself; it is
/// used for routing and for nothing else.
pub struct Roster {
    core: Arc<RosterCore>,
    hints: std::sync::Mutex<Option<mpsc::Receiver<ExchangeHint>>>,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

impl Roster {
    pub(crate) fn new(core: Arc<RosterCore>, hints: mpsc::Receiver<ExchangeHint>) -> Self {
        Self {
            core,
            hints: std::sync::Mutex::new(Some(hints)),
            cancel: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Starts the tasks that watch the platform and exchange with peers; later calls do nothing.
    pub fn start(&self, transport: Arc<dyn RosterTransport>) {
        let hints = self.hints.lock().expect("no panic under this lock").take();
        let Some(hints) = hints else {
            return;
        };
        let _ = self.core.transport.set(Arc::clone(&transport));
        self.core.merge_marks(None, vec![self.process_mark(false)]);
        self.spawn(watcher::run(Arc::clone(&self.core)));
        self.spawn(gossip::run(Arc::clone(&self.core), transport, hints));
        if let Some(pause) = &self.core.pause_watch {
            self.spawn(clear_confirmation_after_pauses(
                Arc::clone(&self.core),
                pause.subscribe(),
            ));
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let cancel = self.cancel.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = task => {}
            }
        });
    }

    fn process_mark(&self, leaving: bool) -> LeavingMark {
        LeavingMark {
            vm: self.core.own_vm.clone(),
            scope: MarkScope::Process,
            incarnation: self.core.incarnation,
            leaving,
        }
    }

    /// Handles a message of the peer `from`; returns the answer if the message is a request.
    #[must_use]
    pub fn handle(&self, from: &VmId, msg: RosterMessage) -> Option<RosterMessage> {
        gossip::handle(&self.core, from, msg)
    }

    /// The current list, sorted by name; empty before the first one is received.
    #[must_use]
    pub fn list(&self) -> Arc<VmList> {
        Arc::clone(self.core.lock().held_list.list())
    }

    /// The entry VMs of the list, leaving ones included.
    #[must_use]
    pub fn entry_vms(&self) -> Vec<Vm> {
        let list = self.list();
        let entry = list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        entry.cloned().collect()
    }

    /// The VM with this name in the list.
    #[must_use]
    pub fn vm(&self, vm: &VmId) -> Option<Vm> {
        self.core.lock().held_list.find(vm).cloned()
    }

    /// Revision and age of the list.
    #[must_use]
    pub fn view(&self) -> RosterView {
        let state = self.core.lock();
        RosterView {
            revision: state.held_list.revision(),
            as_of: state
                .held_list
                .confirmed_at()
                .filter(|_| self.core.is_on_time()),
            skipped: state.held_list.skipped(),
            unbroken_since: state.held_list.unbroken_since(),
        }
    }

    /// Time since which the VM, with its current incarnation, has been in every list and no revision was
    /// skipped.
    #[must_use]
    pub fn listed_since(&self, vm: &VmId) -> Option<Instant> {
        self.core.lock().held_list.listed_since(vm)
    }

    /// Whether the VM is leaving according to the list or a leaving mark; also for VMs not in the list.
    #[must_use]
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        let state = self.core.lock();
        let incarnation = state.held_list.find(vm).map(|vm| vm.incarnation);
        state.marks.is_leaving(vm, incarnation.unwrap_or_default())
    }

    /// Reachability of a peer as seen by this node's own links; for routing only.
    #[must_use]
    pub fn reachability(&self, vm: &VmId) -> Reachability {
        self.core.reachability(vm)
    }

    /// Whether new work may be sent to a node: it is listed, not leaving, and not known to be unreachable.
    #[must_use]
    pub fn is_usable(&self, vm: &VmId) -> bool {
        let listed = self.core.lock().held_list.find(vm).is_some();
        let unreachable = matches!(self.reachability(vm), Reachability::Unreachable { .. });
        listed && !unreachable && !self.is_leaving(vm)
    }

    /// Marks a VM as leaving, because it announced that itself, and sends the mark to other nodes.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownPeer`] when the VM is not in the list.
    pub fn mark_leaving(&self, vm: &VmId) -> Result<()> {
        let incarnation = self.core.lock().held_list.find(vm).map(|vm| vm.incarnation);
        let incarnation = incarnation.ok_or_else(|| Error::UnknownPeer { peer: vm.clone() })?;
        let mark = LeavingMark {
            vm: vm.clone(),
            scope: MarkScope::Vm,
            incarnation,
            leaving: true,
        };
        self.core.merge_marks(None, vec![mark]);
        Ok(())
    }

    /// Marks this process as leaving, so that it gets no new work, and sends the mark to other nodes.
    pub fn leave(&self) {
        self.core.merge_marks(None, vec![self.process_mark(true)]);
    }

    /// Revision of the list; the receiver is notified of each new list and each new mark.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.core.changed.subscribe()
    }

    /// Passes each new list to `observer`, beginning with the current one.
    pub fn add_observer(&self, observer: Arc<dyn ListObserver>) {
        let mut observers = self
            .core
            .observers
            .lock()
            .expect("no panic under this lock");
        let list = self.list();
        if list.revision > Revision::new(0) {
            observer.observe(&list);
        }
        observers.push(observer);
    }

    /// Counters since the roster was built.
    #[must_use]
    pub fn counters(&self) -> RosterCounters {
        self.core.lock().counters
    }

    /// All known leaving marks, for the dump.
    #[must_use]
    pub fn leaving_marks(&self) -> Vec<LeavingMark> {
        let state = self.core.lock();
        state.marks.all()
    }

    /// Whether this node currently watches the platform's list.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.core.is_watcher()
    }

    /// Stops all tasks.
    pub async fn close(self) {
        self.cancel.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl AddressBook for Roster {
    fn address(&self, peer: &VmId) -> Option<SocketAddr> {
        let listed = self.core.lock().held_list.find(peer).map(|vm| vm.address);
        listed.or_else(|| self.core.seeds.get(peer).copied())
    }
}

impl Drop for Roster {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl std::fmt::Debug for Roster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Roster")
            .field("view", &self.view())
            .finish_non_exhaustive()
    }
}

async fn clear_confirmation_after_pauses(core: Arc<RosterCore>, mut pauses: watch::Receiver<u64>) {
    while pauses.changed().await.is_ok() {
        let mut state = core.lock();
        state.held_list.clear_confirmation();
        state.counters.pauses += 1;
    }
}

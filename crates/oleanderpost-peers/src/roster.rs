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
    roster_core::{Hint, RosterCore},
    watcher,
};

/// A node's view of the fleet: the platform's VM list, leaving marks, and which peers can be reached.
///
/// The list is the universe and the authority. Reachability is this node's own observation and serves
/// routing only.
pub struct Roster {
    core: Arc<RosterCore>,
    hints: std::sync::Mutex<Option<mpsc::Receiver<Hint>>>,
    cancel: CancellationToken,
    tasks: TaskTracker,
}

impl Roster {
    pub(crate) fn new(core: Arc<RosterCore>, hints: mpsc::Receiver<Hint>) -> Self {
        Self {
            core,
            hints: std::sync::Mutex::new(Some(hints)),
            cancel: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Starts to watch the platform and to exchange with peers; a second call does nothing.
    pub fn start(&self, peers: Arc<dyn RosterTransport>) {
        let hints = self.hints.lock().expect("no panic under this lock").take();
        let Some(hints) = hints else {
            return;
        };
        let _ = self.core.peers.set(Arc::clone(&peers));
        self.core.merge_marks(None, vec![self.process_mark(false)]);
        self.spawn(watcher::run(Arc::clone(&self.core)));
        self.spawn(gossip::run(Arc::clone(&self.core), peers, hints));
        if let Some(pause) = &self.core.pause {
            self.spawn(doubt_after_pauses(
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
            vm: self.core.own.clone(),
            scope: MarkScope::Process,
            incarnation: self.core.incarnation,
            leaving,
        }
    }

    /// Answers a message of the peer `from`; `None` when no answer is due.
    #[must_use]
    pub fn handle(&self, from: &VmId, msg: RosterMessage) -> Option<RosterMessage> {
        gossip::handle(&self.core, from, msg)
    }

    /// The list held, sorted by name; empty before the first.
    #[must_use]
    pub fn list(&self) -> Arc<VmList> {
        Arc::clone(self.core.lock().listing.list())
    }

    /// The entry VMs of the list, leaving ones included.
    #[must_use]
    pub fn entry_vms(&self) -> Vec<Vm> {
        let list = self.list();
        let entry = list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        entry.cloned().collect()
    }

    /// The VM of this name, as the list has it.
    #[must_use]
    pub fn vm(&self, vm: &VmId) -> Option<Vm> {
        self.core.lock().listing.find(vm).cloned()
    }

    /// How new the list is.
    #[must_use]
    pub fn view(&self) -> RosterView {
        let state = self.core.lock();
        RosterView {
            revision: state.listing.revision(),
            as_of: state.listing.confirmed().filter(|_| self.core.is_awake()),
            skipped: state.listing.skipped(),
            unbroken_since: state.listing.unbroken(),
        }
    }

    /// Since when the VM, of its present incarnation, has been in each list without a skipped revision.
    #[must_use]
    pub fn listed_since(&self, vm: &VmId) -> Option<Instant> {
        self.core.lock().listing.since(vm)
    }

    /// Whether the VM is leaving, by the list, a mark, or its own node; also when it is in no list.
    #[must_use]
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        let state = self.core.lock();
        let incarnation = state.listing.find(vm).map(|vm| vm.incarnation);
        state.marks.is_leaving(vm, incarnation.unwrap_or_default())
    }

    /// What this node's own links know of a peer; it serves routing only.
    #[must_use]
    pub fn reachability(&self, vm: &VmId) -> Reachability {
        self.core.reachability(vm)
    }

    /// Whether new work may go to a node: it is in the list, not leaving, and not known to be unreachable.
    #[must_use]
    pub fn is_usable(&self, vm: &VmId) -> bool {
        let listed = self.core.lock().listing.find(vm).is_some();
        let unreachable = matches!(self.reachability(vm), Reachability::Unreachable { .. });
        listed && !unreachable && !self.is_leaving(vm)
    }

    /// Marks a VM as leaving because it said so itself, and tells the other nodes.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownPeer`] when the VM is not in the list.
    pub fn mark_leaving(&self, vm: &VmId) -> Result<()> {
        let incarnation = self.core.lock().listing.find(vm).map(|vm| vm.incarnation);
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

    /// Tells the other nodes that this process takes no new work.
    pub fn leave(&self) {
        self.core.merge_marks(None, vec![self.process_mark(true)]);
    }

    /// Revision of the list; the receiver is told of each new list and of each new mark.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.core.changed.subscribe()
    }

    /// Has each list from now on told to `observer`, beginning with the one held.
    pub fn add_observer(&self, observer: Arc<dyn ListObserver>) {
        let mut observers = self.core.turn.lock().expect("no panic under this lock");
        let list = self.list();
        if list.revision > Revision::new(0) {
            observer.observe(&list);
        }
        observers.push(observer);
    }

    /// What the roster has done since its start.
    #[must_use]
    pub fn counters(&self) -> RosterCounters {
        self.core.lock().counters
    }

    /// All leaving marks that are known, for the dump.
    #[must_use]
    pub fn leaving_marks(&self) -> Vec<LeavingMark> {
        let state = self.core.lock();
        state.marks.all()
    }

    /// Whether this node watches the platform's list now.
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
        let listed = self.core.lock().listing.find(peer).map(|vm| vm.address);
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

async fn doubt_after_pauses(core: Arc<RosterCore>, mut pauses: watch::Receiver<u64>) {
    while pauses.changed().await.is_ok() {
        let mut state = core.lock();
        state.listing.doubt();
        state.counters.pauses += 1;
    }
}

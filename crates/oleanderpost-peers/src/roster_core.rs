//! [`RosterCore`]: state shared by the tasks of one roster.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};

use oleanderpost_types::{
    DataCentre, Incarnation, Millis, Revision, Vm, VmId, VmList, VmRole, VmState,
};
use rand::{Rng, RngExt};
use tokio::{
    sync::{Notify, mpsc, watch},
    time::Instant,
};

use crate::{
    ContactChange, LeavingMark, ListObserver, ListStep, MarkScope, PauseWatch, Reachability,
    RosterCounters, RosterDigest, RosterMessage, RosterTimings, RosterTransport, VmSource,
    held_list::{ApplyOutcome, HeldList},
    leaving_marks::LeavingMarks,
    ring::{self, Ring},
};

/// Added to an age, because its conversion to whole milliseconds rounds down.
const AGE_ROUNDING: Millis = Millis::new(1);
/// Maximum number of [`ContactChange`]s in one message.
const MAX_CONTACTS: usize = 64;

/// A reason to exchange with a peer before its turn.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ExchangeHint {
    /// The peer has a newer list.
    NewerState(VmId),
    /// Another node can no longer reach the peer, or can reach it again.
    ContactChanged {
        /// The peer.
        vm: VmId,
        /// Whether the other node can reach it.
        reached: bool,
    },
}

pub(crate) struct RosterState {
    pub(crate) held_list: HeldList,
    pub(crate) marks: LeavingMarks,
    pub(crate) ring: Ring,
    pub(crate) counters: RosterCounters,
    /// Nodes of the list that were unreachable at the last update.
    pub(crate) unreachable: BTreeSet<VmId>,
}

pub(crate) struct RosterCore {
    pub(crate) own_vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentre,
    pub(crate) seeds: HashMap<VmId, SocketAddr>,
    pub(crate) timings: RosterTimings,
    pub(crate) source: Arc<dyn VmSource>,
    pub(crate) transport: OnceLock<Arc<dyn RosterTransport>>,
    pub(crate) pause_watch: Option<PauseWatch>,
    pub(crate) rng: Mutex<Box<dyn Rng + Send>>,
    pub(crate) state: Mutex<RosterState>,
    /// Locked while lists are applied, so that observers receive them in order.
    pub(crate) observers: Mutex<Vec<Arc<dyn ListObserver>>>,
    pub(crate) changed: watch::Sender<Revision>,
    pub(crate) hints: mpsc::Sender<ExchangeHint>,
    /// Signals the task that watches the platform that a list was applied.
    pub(crate) watcher_notify: Notify,
}

impl RosterCore {
    pub(crate) fn lock(&self) -> MutexGuard<'_, RosterState> {
        self.state.lock().expect("no panic under this lock")
    }

    /// `span` changed at random by up to 20 %, so that the timers of nodes do not synchronise.
    pub(crate) fn jitter(&self, span: Duration) -> Duration {
        let mut rng = self.rng.lock().expect("no panic under this lock");
        span.mul_f64(rng.random_range(0.8..1.2))
    }

    pub(crate) fn digest(&self) -> RosterDigest {
        let state = self.lock();
        let age = state
            .held_list
            .confirmed_at()
            .map(|at| Millis::from(at.elapsed()).saturating_add(AGE_ROUNDING));
        RosterDigest {
            revision: state.held_list.revision(),
            age: age.filter(|_| self.is_on_time()),
            marks: state.marks.digest(state.held_list.list()),
        }
    }

    /// Whether this process has not paused since the last tick of the pause watch.
    pub(crate) fn is_on_time(&self) -> bool {
        self.pause_watch.as_ref().is_none_or(PauseWatch::is_on_time)
    }

    /// Applies a list of the platform whose read started at `read_started`.
    pub(crate) fn apply_platform_list(&self, list: VmList, read_started: Instant) {
        let revision = list.revision;
        let outcome = self.apply_and_notify(|held_list| held_list.apply_list(list));
        if matches!(outcome, ApplyOutcome::Newer(_)) {
            self.lock().counters.lists_from_platform += 1;
        }
        self.lock().held_list.confirm(revision, read_started);
    }

    /// Applies the whole list of a peer.
    pub(crate) fn apply_peer_list(&self, list: VmList) {
        if let ApplyOutcome::Newer(_) =
            self.apply_and_notify(|held_list| held_list.apply_list(list))
        {
            self.lock().counters.lists_from_peers += 1;
        }
    }

    /// Applies changes from a peer; false when the whole list is needed.
    pub(crate) fn apply_peer_steps(&self, steps: &[ListStep], digest: u64) -> bool {
        match self.apply_and_notify(|held_list| held_list.apply_steps(steps, digest)) {
            ApplyOutcome::Newer(lists) => {
                self.lock().counters.lists_from_peers += lists.len() as u64
            }
            ApplyOutcome::NotNewer => {}
            ApplyOutcome::Mismatch => {
                self.lock().counters.misfits += 1;
                return false;
            }
        }
        true
    }

    fn apply_and_notify(&self, apply: impl FnOnce(&mut HeldList) -> ApplyOutcome) -> ApplyOutcome {
        let observers = self.observers.lock().expect("no panic under this lock");
        let outcome = self.apply(apply);
        let ApplyOutcome::Newer(lists) = &outcome else {
            return outcome;
        };
        for list in lists {
            observers.iter().for_each(|observer| observer.observe(list));
        }
        drop(observers);
        let revision = lists
            .last()
            .map_or_else(Revision::default, |list| list.revision);
        self.changed.send_replace(revision);
        self.watcher_notify.notify_one();
        self.send_news(None, Vec::new(), Vec::new());
        outcome
    }

    fn apply(&self, apply: impl FnOnce(&mut HeldList) -> ApplyOutcome) -> ApplyOutcome {
        let mut state = self.lock();
        let before = state.held_list.revision().get();
        let outcome = apply(&mut state.held_list);
        let ApplyOutcome::Newer(lists) = &outcome else {
            return outcome;
        };
        let mut previous = before;
        for list in lists {
            let skipped = previous > 0 && list.revision.get() > previous + 1;
            state.counters.skipped += u64::from(skipped);
            previous = list.revision.get();
            merge_listed_marks(&mut state.marks, list);
        }
        let list = Arc::clone(state.held_list.list());
        state.marks.prune(&list, self.timings.mark_retention);
        state.ring = Ring::new(&list);
        outcome
    }

    /// Merges marks and forwards the new ones to the neighbours, except `from`; returns whether any was new.
    pub(crate) fn merge_marks(&self, from: Option<&VmId>, marks: Vec<LeavingMark>) -> bool {
        let new_marks = self.record_marks(marks);
        if new_marks.is_empty() {
            return false;
        }
        let revision = self.lock().held_list.revision();
        self.changed.send_replace(revision);
        self.send_news(from, new_marks, Vec::new());
        true
    }

    fn record_marks(&self, marks: Vec<LeavingMark>) -> Vec<LeavingMark> {
        let mut state = self.lock();
        let new_marks = marks.into_iter().filter(|mark| state.marks.merge(mark));
        let new_marks: Vec<_> = new_marks.collect();
        state.counters.marks += new_marks.len() as u64;
        new_marks
    }

    /// Sends news to the neighbours on the ring, except `from`.
    pub(crate) fn send_news(
        &self,
        from: Option<&VmId>,
        marks: Vec<LeavingMark>,
        contacts: Vec<ContactChange>,
    ) {
        let Some(transport) = self.transport.get() else {
            return;
        };
        let (revision, neighbours) = {
            let state = self.lock();
            (
                state.held_list.revision(),
                state.ring.neighbours(&self.own_vm),
            )
        };
        for vm in neighbours.iter().filter(|vm| from != Some(vm)) {
            let msg = RosterMessage::News {
                revision,
                marks: marks.clone(),
                contacts: contacts.clone(),
            };
            transport.send(vm, msg);
        }
    }

    /// Peers to exchange with in turn: the successors on the ring, or the seeds if there are none.
    pub(crate) fn exchange_peers(&self) -> Vec<VmId> {
        let successors = self.lock().ring.successors(&self.own_vm);
        if !successors.is_empty() {
            return successors;
        }
        let mut seeds: Vec<_> = self
            .seeds
            .keys()
            .filter(|vm| **vm != self.own_vm)
            .cloned()
            .collect();
        seeds.sort();
        seeds
    }

    /// Whether this node should currently watch the platform.
    pub(crate) fn is_watcher(&self) -> bool {
        let (list, since_update) = {
            let state = self.lock();
            (
                Arc::clone(state.held_list.list()),
                state.held_list.time_since_update(),
            )
        };
        let salt = since_update.as_millis() / self.timings.reselect_interval.as_millis().max(1);
        let rank = ring::rank(&list, &self.own_vm, &self.data_centre, salt as u64, |vm| {
            self.is_watcher_candidate(vm)
        });
        list.revision == Revision::new(0) || rank < self.watcher_count(since_update)
    }

    /// Number of watchers in a data centre when the list was confirmed or replaced `since_update` ago.
    fn watcher_count(&self, since_update: Duration) -> usize {
        let timings = &self.timings;
        let Some(overdue) = since_update.checked_sub(timings.takeover_after) else {
            return timings.watchers;
        };
        let intervals = overdue.as_millis() / timings.takeover_interval.as_millis().max(1);
        let extra = usize::try_from(intervals)
            .unwrap_or(usize::MAX)
            .saturating_add(1);
        timings
            .watchers
            .saturating_add(extra)
            .min(timings.max_watchers.max(timings.watchers))
    }

    fn is_watcher_candidate(&self, vm: &Vm) -> bool {
        let leaving = self.lock().marks.is_leaving(&vm.id, vm.incarnation);
        !leaving && !matches!(self.reachability(&vm.id), Reachability::Unreachable { .. })
    }

    pub(crate) fn reachability(&self, vm: &VmId) -> Reachability {
        let transport = self.transport.get();
        transport.map_or(Reachability::Unknown, |t| t.reachability(vm))
    }

    /// Updates the set of unreachable nodes and sends the changes to the neighbours.
    pub(crate) fn update_unreachable(&self) {
        let list = Arc::clone(self.lock().held_list.list());
        let nodes = list
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Entry && vm.id != self.own_vm);
        let is_unreachable =
            |vm: &&Vm| matches!(self.reachability(&vm.id), Reachability::Unreachable { .. });
        let unreachable: BTreeSet<_> = nodes
            .clone()
            .filter(is_unreachable)
            .map(|vm| vm.id.clone())
            .collect();
        let previous = std::mem::replace(&mut self.lock().unreachable, unreachable.clone());
        let changed = nodes.filter(|vm| previous.contains(&vm.id) != unreachable.contains(&vm.id));
        let contacts: Vec<_> = changed
            .map(|vm| ContactChange {
                vm: vm.id.clone(),
                incarnation: vm.incarnation,
                reached: previous.contains(&vm.id),
            })
            .take(MAX_CONTACTS)
            .collect();
        if !contacts.is_empty() {
            self.send_news(None, Vec::new(), contacts);
        }
    }

    /// A random unreachable node, to be tried again.
    pub(crate) fn random_unreachable(&self) -> Option<VmId> {
        let state = self.lock();
        let len = state.unreachable.len();
        let index = self
            .rng
            .lock()
            .expect("no panic under this lock")
            .random_range(0..len.max(1));
        state.unreachable.iter().nth(index).cloned()
    }

    /// Queues a hint. It is dropped if the queue is full: the periodic exchanges make up for it.
    pub(crate) fn queue_hint(&self, new_hint: ExchangeHint) {
        let _ = self.hints.try_send(new_hint);
    }
}

fn merge_listed_marks(marks: &mut LeavingMarks, list: &VmList) {
    for vm in list.vms.iter().filter(|vm| vm.state == VmState::Leaving) {
        marks.merge(&LeavingMark {
            vm: vm.id.clone(),
            scope: MarkScope::Vm,
            incarnation: vm.incarnation,
            leaving: true,
        });
    }
}

//! [`RosterCore`]: what the tasks of one roster share.

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
    Contact, LeavingMark, ListObserver, ListStep, MarkScope, PauseWatch, Reachability,
    RosterCounters, RosterDigest, RosterMessage, RosterTimings, RosterTransport, VmSource,
    listing::{Applied, Listing},
    marks::Marks,
    ring::{self, Ring},
};

/// Whole milliseconds leave out up to this much of an age.
const ROUNDING: Millis = Millis::new(1);
/// Nodes in one message about who is reached.
const MAX_CONTACTS: usize = 64;

/// Something that makes a peer worth asking before its turn.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Hint {
    /// It knows something newer.
    News(VmId),
    /// Another node reaches it no longer, or again.
    Contact {
        /// The node.
        vm: VmId,
        /// Whether the other node reached it.
        reached: bool,
    },
}

pub(crate) struct RosterState {
    pub(crate) listing: Listing,
    pub(crate) marks: Marks,
    pub(crate) ring: Ring,
    pub(crate) counters: RosterCounters,
    /// Nodes of the list that this node could not reach when it last looked.
    pub(crate) unreachable: BTreeSet<VmId>,
}

pub(crate) struct RosterCore {
    pub(crate) own: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: DataCentre,
    pub(crate) seeds: HashMap<VmId, SocketAddr>,
    pub(crate) timings: RosterTimings,
    pub(crate) source: Arc<dyn VmSource>,
    pub(crate) peers: OnceLock<Arc<dyn RosterTransport>>,
    pub(crate) pause: Option<PauseWatch>,
    pub(crate) rng: Mutex<Box<dyn Rng + Send>>,
    pub(crate) state: Mutex<RosterState>,
    /// Held while lists are taken up, so that observers see them in order.
    pub(crate) turn: Mutex<Vec<Arc<dyn ListObserver>>>,
    pub(crate) changed: watch::Sender<Revision>,
    pub(crate) hints: mpsc::Sender<Hint>,
    /// Wakes the task that watches the platform.
    pub(crate) rewatch: Notify,
}

impl RosterCore {
    pub(crate) fn lock(&self) -> MutexGuard<'_, RosterState> {
        self.state.lock().expect("no panic under this lock")
    }

    /// A time around `span`, so that nodes do not act in step.
    pub(crate) fn jitter(&self, span: Duration) -> Duration {
        let mut rng = self.rng.lock().expect("no panic under this lock");
        span.mul_f64(rng.random_range(0.8..1.2))
    }

    pub(crate) fn digest(&self) -> RosterDigest {
        let state = self.lock();
        let age = state
            .listing
            .confirmed()
            .map(|at| Millis::from(at.elapsed()).saturating_add(ROUNDING));
        RosterDigest {
            revision: state.listing.revision(),
            age: age.filter(|_| self.is_awake()),
            marks: state.marks.digest(state.listing.list()),
        }
    }

    /// Whether no pause of this process has gone unnoticed.
    pub(crate) fn is_awake(&self) -> bool {
        self.pause.as_ref().is_none_or(PauseWatch::is_on_time)
    }

    /// Takes up a list of the platform, read from the time `asked` on.
    pub(crate) fn take_from_platform(&self, list: VmList, asked: Instant) {
        let revision = list.revision;
        let taken = self.take(|listing| listing.apply_list(list));
        if matches!(taken, Applied::Newer(_)) {
            self.lock().counters.lists_from_platform += 1;
        }
        self.lock().listing.confirm(revision, asked);
    }

    /// Takes up the whole list of a peer.
    pub(crate) fn take_whole(&self, list: VmList) {
        if let Applied::Newer(_) = self.take(|listing| listing.apply_list(list)) {
            self.lock().counters.lists_from_peers += 1;
        }
    }

    /// Takes up changes of a peer; false when the whole list is needed.
    pub(crate) fn take_steps(&self, steps: &[ListStep], digest: u64) -> bool {
        match self.take(|listing| listing.apply_steps(steps, digest)) {
            Applied::Newer(lists) => self.lock().counters.lists_from_peers += lists.len() as u64,
            Applied::Old => {}
            Applied::Misfit => {
                self.lock().counters.misfits += 1;
                return false;
            }
        }
        true
    }

    fn take(&self, apply: impl FnOnce(&mut Listing) -> Applied) -> Applied {
        let observers = self.turn.lock().expect("no panic under this lock");
        let applied = self.apply(apply);
        let Applied::Newer(lists) = &applied else {
            return applied;
        };
        for list in lists {
            observers.iter().for_each(|observer| observer.observe(list));
        }
        drop(observers);
        let revision = lists
            .last()
            .map_or_else(Revision::default, |list| list.revision);
        self.changed.send_replace(revision);
        self.rewatch.notify_one();
        self.tell_news(None, Vec::new(), Vec::new());
        applied
    }

    fn apply(&self, apply: impl FnOnce(&mut Listing) -> Applied) -> Applied {
        let mut state = self.lock();
        let before = state.listing.revision().get();
        let applied = apply(&mut state.listing);
        let Applied::Newer(lists) = &applied else {
            return applied;
        };
        let mut last = before;
        for list in lists {
            let skipped = last > 0 && list.revision.get() > last + 1;
            state.counters.skipped += u64::from(skipped);
            last = list.revision.get();
            mark_listed(&mut state.marks, list);
        }
        let list = Arc::clone(state.listing.list());
        state.marks.prune(&list, self.timings.keep_marks);
        state.ring = Ring::new(&list);
        applied
    }

    /// Merges marks; those that were news go on to other peers.
    pub(crate) fn merge_marks(&self, from: Option<&VmId>, marks: Vec<LeavingMark>) -> bool {
        let news = self.merge_quietly(marks);
        if news.is_empty() {
            return false;
        }
        let revision = self.lock().listing.revision();
        self.changed.send_replace(revision);
        self.tell_news(from, news, Vec::new());
        true
    }

    fn merge_quietly(&self, marks: Vec<LeavingMark>) -> Vec<LeavingMark> {
        let mut state = self.lock();
        let fresh = marks.into_iter().filter(|mark| state.marks.merge(mark));
        let news: Vec<_> = fresh.collect();
        state.counters.marks += news.len() as u64;
        news
    }

    /// Tells the peers around what is new, but for the one it came from.
    pub(crate) fn tell_news(
        &self,
        from: Option<&VmId>,
        marks: Vec<LeavingMark>,
        contacts: Vec<Contact>,
    ) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let (revision, around) = {
            let state = self.lock();
            (state.listing.revision(), state.ring.around(&self.own))
        };
        for vm in around.iter().filter(|vm| from != Some(vm)) {
            let msg = RosterMessage::News {
                revision,
                marks: marks.clone(),
                contacts: contacts.clone(),
            };
            peers.send(vm, msg);
        }
    }

    /// Peers to exchange with in turn: those ahead on the ring, or the seeds while there is no list.
    pub(crate) fn turn_peers(&self) -> Vec<VmId> {
        let ahead = self.lock().ring.ahead(&self.own);
        if !ahead.is_empty() {
            return ahead;
        }
        let mut seeds: Vec<_> = self
            .seeds
            .keys()
            .filter(|vm| **vm != self.own)
            .cloned()
            .collect();
        seeds.sort();
        seeds
    }

    /// Whether this node shall watch the platform now.
    pub(crate) fn is_watcher(&self) -> bool {
        let (list, quiet) = {
            let state = self.lock();
            (Arc::clone(state.listing.list()), state.listing.quiet())
        };
        let salt = quiet.as_millis() / self.timings.reselect.as_millis().max(1);
        let rank = ring::rank(&list, &self.own, &self.data_centre, salt as u64, |vm| {
            self.may_watch(vm)
        });
        list.revision == Revision::new(0) || rank < self.watchers(quiet)
    }

    /// Nodes of a data centre that watch when the last confirmation is `quiet` old.
    fn watchers(&self, quiet: Duration) -> usize {
        let t = &self.timings;
        let Some(late) = quiet.checked_sub(t.takeover) else {
            return t.watchers;
        };
        let steps = late.as_millis() / t.takeover_step.as_millis().max(1);
        let further = usize::try_from(steps)
            .unwrap_or(usize::MAX)
            .saturating_add(1);
        t.watchers
            .saturating_add(further)
            .min(t.max_watchers.max(t.watchers))
    }

    fn may_watch(&self, vm: &Vm) -> bool {
        let leaving = self.lock().marks.is_leaving(&vm.id, vm.incarnation);
        !leaving && !matches!(self.reachability(&vm.id), Reachability::Unreachable { .. })
    }

    pub(crate) fn reachability(&self, vm: &VmId) -> Reachability {
        let peers = self.peers.get();
        peers.map_or(Reachability::Unknown, |peers| peers.reachability(vm))
    }

    /// Looks which nodes of the list are unreachable now, and tells others what has changed.
    pub(crate) fn look_around(&self) {
        let list = Arc::clone(self.lock().listing.list());
        let nodes = list
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Entry && vm.id != self.own);
        let is_unreachable =
            |vm: &&Vm| matches!(self.reachability(&vm.id), Reachability::Unreachable { .. });
        let now: BTreeSet<_> = nodes
            .clone()
            .filter(is_unreachable)
            .map(|vm| vm.id.clone())
            .collect();
        let before = std::mem::replace(&mut self.lock().unreachable, now.clone());
        let changed = nodes.filter(|vm| before.contains(&vm.id) != now.contains(&vm.id));
        let contacts: Vec<_> = changed
            .map(|vm| Contact {
                vm: vm.id.clone(),
                incarnation: vm.incarnation,
                reached: before.contains(&vm.id),
            })
            .take(MAX_CONTACTS)
            .collect();
        if !contacts.is_empty() {
            self.tell_news(None, Vec::new(), contacts);
        }
    }

    /// One of the unreachable nodes, to be tried again.
    pub(crate) fn any_unreachable(&self) -> Option<VmId> {
        let state = self.lock();
        let len = state.unreachable.len();
        let at = self
            .rng
            .lock()
            .expect("no panic under this lock")
            .random_range(0..len.max(1));
        state.unreachable.iter().nth(at).cloned()
    }

    /// Notes that a peer is worth asking; hints beyond the bound are dropped, the turn comes anyway.
    pub(crate) fn hint(&self, hint: Hint) {
        let _ = self.hints.try_send(hint);
    }
}

fn mark_listed(marks: &mut Marks, list: &VmList) {
    for vm in list.vms.iter().filter(|vm| vm.state == VmState::Leaving) {
        marks.merge(&LeavingMark {
            vm: vm.id.clone(),
            scope: MarkScope::Vm,
            incarnation: vm.incarnation,
            leaving: true,
        });
    }
}

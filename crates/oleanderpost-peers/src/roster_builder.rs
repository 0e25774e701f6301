//! [`RosterBuilder`].

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
};

use oleanderpost_types::{DataCentre, Incarnation, Revision, VmId};
use rand::Rng;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    PauseWatch, Roster, RosterCounters, RosterTimings, VmSource,
    held_list::HeldList,
    leaving_marks::LeavingMarks,
    ring::Ring,
    roster_core::{RosterCore, RosterState},
};

/// Maximum number of queued hints.
const MAX_QUEUED_HINTS: usize = 128;

/// Builds a [`Roster`].
pub struct RosterBuilder {
    own_vm: VmId,
    incarnation: Incarnation,
    data_centre: DataCentre,
    source: Arc<dyn VmSource>,
    rng: Box<dyn Rng + Send>,
    seeds: HashMap<VmId, SocketAddr>,
    timings: RosterTimings,
    pause_watch: Option<PauseWatch>,
}

impl RosterBuilder {
    /// Builder for the roster of the VM `own_vm`, which reads the platform's list from `source`. `rng` adds
    /// jitter to timers.
    #[must_use]
    pub fn new(
        own_vm: VmId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        source: Arc<dyn VmSource>,
        rng: impl Rng + Send + 'static,
    ) -> Self {
        Self {
            own_vm,
            incarnation,
            data_centre,
            source,
            rng: Box::new(rng),
            seeds: HashMap::new(),
            timings: RosterTimings::default(),
            pause_watch: None,
        }
    }

    /// Sets the peers that serve the list when the platform is down at startup.
    #[must_use]
    pub fn with_seeds(mut self, seeds: HashMap<VmId, SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the timeouts, intervals and limits.
    #[must_use]
    pub fn with_timings(mut self, timings: RosterTimings) -> Self {
        self.timings = timings;
        self
    }

    /// Sets the watch for pauses of this process; after a pause, the list counts as not confirmed.
    #[must_use]
    pub fn with_pause_watch(mut self, pause_watch: PauseWatch) -> Self {
        self.pause_watch = Some(pause_watch);
        self
    }

    /// Builds the roster; it does nothing until [`Roster::start`].
    #[must_use]
    pub fn build(self) -> Roster {
        let (hints, rx) = mpsc::channel(MAX_QUEUED_HINTS);
        let held_list = HeldList::new();
        let state = RosterState {
            ring: Ring::new(held_list.list()),
            held_list,
            marks: LeavingMarks::default(),
            counters: RosterCounters::default(),
            unreachable: BTreeSet::new(),
        };
        let core = RosterCore {
            own_vm: self.own_vm,
            incarnation: self.incarnation,
            data_centre: self.data_centre,
            seeds: self.seeds,
            timings: self.timings,
            source: self.source,
            transport: OnceLock::new(),
            pause_watch: self.pause_watch,
            rng: Mutex::new(self.rng),
            state: Mutex::new(state),
            observers: Mutex::default(),
            changed: watch::Sender::new(Revision::default()),
            hints,
            watcher_notify: Notify::new(),
        };
        Roster::new(Arc::new(core), rx)
    }
}

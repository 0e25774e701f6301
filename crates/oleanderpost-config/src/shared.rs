//! [`Shared`].

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use oleanderpost_types::{DataCentre, FileName, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{Instant, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    ConfigCounters, ConfigMessage, ConfigPeers, ConfigSource, ContentHash, Error, FileDigest,
    Payload, PeerView, Result, Snapshot, Tuning, ranking::Ranking, reports::Reports, store::Store,
};

/// Offers that wait for decompression and check.
pub(crate) const INBOX_LEN: usize = 64;
/// Time in which a content that is under way is not asked for again.
const FETCH_TIME: Duration = Duration::from_secs(2);
/// Time for which a watcher that gave no answer is passed over.
const SUSPECT_TIME: Duration = Duration::from_secs(10);

/// An offer of a peer that is to be merged.
#[derive(Debug)]
pub(crate) struct Offered {
    pub(crate) from: VmId,
    pub(crate) digest: FileDigest,
    pub(crate) payloads: Vec<Arc<Payload>>,
}

/// State that the tasks of one node share.
pub(crate) struct Shared {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentre,
    pub(crate) tuning: Tuning,
    pub(crate) newest_format: u64,
    pub(crate) source: Arc<dyn ConfigSource>,
    pub(crate) peers: Arc<dyn ConfigPeers>,
    pub(crate) snapshot: watch::Sender<Arc<Snapshot>>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) changed: Notify,
    pub(crate) report: Notify,
    pub(crate) inbox: mpsc::Sender<Offered>,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
    store: Mutex<Store>,
    reports: Mutex<Reports>,
    counters: Mutex<ConfigCounters>,
    /// Files to push, with the peer they came from.
    pending: Mutex<BTreeMap<FileName, Option<VmId>>>,
    fetching: Mutex<HashMap<ContentHash, Instant>>,
    suspects: Mutex<HashMap<VmId, Instant>>,
    source_seen: Mutex<Option<Instant>>,
    confirmed: Mutex<Option<Instant>>,
    rng: Mutex<ChaCha8Rng>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn new(
        vm: VmId,
        data_centre: DataCentre,
        tuning: Tuning,
        newest_format: u64,
        source: Arc<dyn ConfigSource>,
        peers: Arc<dyn ConfigPeers>,
        seed: u64,
    ) -> (Self, mpsc::Receiver<Offered>) {
        let (inbox, offers) = mpsc::channel(INBOX_LEN);
        let shared = Self {
            vm,
            data_centre,
            tuning,
            newest_format,
            source,
            peers,
            snapshot: watch::Sender::new(Arc::new(Snapshot::default())),
            ready: watch::Sender::new(false),
            changed: Notify::new(),
            report: Notify::new(),
            inbox,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            store: Mutex::default(),
            reports: Mutex::default(),
            counters: Mutex::default(),
            pending: Mutex::default(),
            fetching: Mutex::default(),
            suspects: Mutex::default(),
            source_seen: Mutex::default(),
            confirmed: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        };
        (shared, offers)
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    pub(crate) fn reports(&self) -> MutexGuard<'_, Reports> {
        lock(&self.reports)
    }

    pub(crate) fn counters(&self) -> MutexGuard<'_, ConfigCounters> {
        lock(&self.counters)
    }

    /// The peers, without this node.
    pub(crate) fn peers(&self) -> Vec<PeerView> {
        let mut peers = self.peers.peers();
        peers.retain(|peer| peer.vm != self.vm);
        peers
    }

    /// Shortest time between two reads of this node, so that the whole fleet stays within the budget
    /// even if each node reads.
    pub(crate) fn read_gap(&self) -> Duration {
        let nodes = u32::try_from(self.peers().len() + 1).unwrap_or(u32::MAX);
        self.tuning.read_gap_per_node.saturating_mul(nodes)
    }

    pub(crate) fn ranking<'a>(&'a self, peers: &'a [PeerView]) -> Ranking<'a> {
        Ranking::new(&self.vm, &self.data_centre, peers)
    }

    /// The neighbours that lately answered.
    pub(crate) fn answering_neighbours(&self) -> Vec<VmId> {
        let peers = self.peers();
        let passes = |peer: &PeerView| peer.reachable && !self.is_suspect(&peer.vm);
        self.ranking(&peers).neighbours(self.tuning.fanout, passes)
    }

    /// The neighbours, and those that stand in for the silent ones. A silent one is tried again, since
    /// it may be back.
    pub(crate) fn neighbours(&self) -> Vec<VmId> {
        let peers = self.peers();
        let mut vms = self
            .ranking(&peers)
            .neighbours(self.tuning.fanout, |peer| peer.reachable);
        vms.extend(self.answering_neighbours());
        vms.sort();
        vms.dedup();
        vms
    }

    /// A peer that sends is not silent.
    pub(crate) fn heard_from(&self, vm: &VmId) {
        lock(&self.suspects).remove(vm);
    }

    /// The watchers of this node's data centre, as it sees them now.
    pub(crate) fn watchers(&self, peers: &[PeerView]) -> Vec<VmId> {
        let passes = |peer: &PeerView| peer.reachable && !self.is_suspect(&peer.vm);
        let mut vms = self.ranking(peers).watchers(&self.data_centre, passes);
        vms.truncate(self.tuning.watchers);
        vms
    }

    /// Asks a peer, counts it, and remembers its silence.
    pub(crate) async fn ask(&self, vm: &VmId, msg: ConfigMessage) -> Result<ConfigMessage> {
        let mechanism = msg.mechanism();
        self.counters().sent(mechanism, &msg);
        let asked = timeout(self.tuning.ask_timeout, self.peers.request(vm, msg)).await;
        let answer = asked.unwrap_or_else(|_| {
            Err(Error::Peer {
                vm: vm.clone(),
                step: mechanism.name(),
                reason: "no answer in time".to_owned(),
            })
        });
        match &answer {
            Ok(msg) => {
                self.counters().received(mechanism, msg);
                lock(&self.suspects).remove(vm);
            }
            Err(_) => {
                self.counters().failed_asks += 1;
                lock(&self.suspects).insert(vm.clone(), Instant::now());
            }
        }
        answer
    }

    pub(crate) fn is_suspect(&self, vm: &VmId) -> bool {
        let suspects = lock(&self.suspects);
        suspects
            .get(vm)
            .is_some_and(|at| at.elapsed() < SUSPECT_TIME)
    }

    /// Marks contents as under way; gives those that were not.
    pub(crate) fn start_fetch(&self, hashes: Vec<ContentHash>) -> Vec<ContentHash> {
        let mut fetching = lock(&self.fetching);
        fetching.retain(|_, at| at.elapsed() < FETCH_TIME);
        let fresh = |hash: &ContentHash| fetching.insert(*hash, Instant::now()).is_none();
        hashes.into_iter().filter(fresh).collect()
    }

    /// Ends the marks of contents that came or failed.
    pub(crate) fn end_fetch(&self, digest: &FileDigest) {
        let accepted = digest.accepted.map(|version| version.hash);
        let seen = digest.seen.and_then(|seen| seen.hash);
        let mut fetching = lock(&self.fetching);
        for hash in accepted.into_iter().chain(seen) {
            fetching.remove(&hash);
        }
    }

    /// Lets a file be pushed to the neighbours.
    pub(crate) fn push(&self, name: FileName, from: Option<VmId>) {
        lock(&self.pending).insert(name, from);
        self.changed.notify_one();
        self.report.notify_one();
    }

    pub(crate) fn take_pending(&self) -> BTreeMap<FileName, Option<VmId>> {
        std::mem::take(&mut lock(&self.pending))
    }

    pub(crate) fn source_answered(&self) {
        *lock(&self.source_seen) = Some(Instant::now());
        self.confirm();
    }

    /// The configuration service answered, or a peer compared all files with this node.
    pub(crate) fn confirm(&self) {
        *lock(&self.confirmed) = Some(Instant::now());
    }

    /// Time of the last confirmation.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        *lock(&self.confirmed)
    }

    /// Time since the last answer of the configuration service.
    pub(crate) fn source_age(&self) -> Option<Duration> {
        lock(&self.source_seen).map(|at| at.elapsed())
    }

    /// A time between half and one and a half of `mean`.
    pub(crate) fn jitter(&self, mean: Duration) -> Duration {
        mean.mul_f64(lock(&self.rng).random_range(0.5..1.5))
    }

    /// A number below `len`.
    pub(crate) fn pick(&self, len: usize) -> usize {
        lock(&self.rng).random_range(0..len)
    }
}

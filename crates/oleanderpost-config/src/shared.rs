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
    Payload, PeerView, Result, Snapshot, Tuning, ranking::Ranking, report_table::ReportTable,
    store::Store,
};

/// Maximum number of offers waiting for decompression and check.
pub(crate) const OFFER_QUEUE_LEN: usize = 64;
/// Time during which a content that is being fetched is not requested again.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time during which a node that did not respond is treated as suspect.
const SUSPECT_DURATION: Duration = Duration::from_secs(10);

/// An offer of a peer that waits to be merged.
#[derive(Debug)]
pub(crate) struct PendingOffer {
    pub(crate) from: VmId,
    pub(crate) digest: FileDigest,
    pub(crate) payloads: Vec<Arc<Payload>>,
}

/// State shared by the tasks of one node.
pub(crate) struct Shared {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentre,
    pub(crate) tuning: Tuning,
    pub(crate) newest_format: u64,
    pub(crate) source: Arc<dyn ConfigSource>,
    pub(crate) peers: Arc<dyn ConfigPeers>,
    pub(crate) snapshot: watch::Sender<Arc<Snapshot>>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) push_requested: Notify,
    pub(crate) report_requested: Notify,
    pub(crate) offer_queue: mpsc::Sender<PendingOffer>,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
    store: Mutex<Store>,
    reports: Mutex<ReportTable>,
    counters: Mutex<ConfigCounters>,
    /// Files to push, with the peer from which they were received.
    pending_pushes: Mutex<BTreeMap<FileName, Option<VmId>>>,
    fetches: Mutex<HashMap<ContentHash, Instant>>,
    suspects: Mutex<HashMap<VmId, Instant>>,
    source_responded_at: Mutex<Option<Instant>>,
    last_confirmed_at: Mutex<Option<Instant>>,
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
    ) -> (Self, mpsc::Receiver<PendingOffer>) {
        let (offer_queue, offers) = mpsc::channel(OFFER_QUEUE_LEN);
        let shared = Self {
            vm,
            data_centre,
            tuning,
            newest_format,
            source,
            peers,
            snapshot: watch::Sender::new(Arc::new(Snapshot::default())),
            ready: watch::Sender::new(false),
            push_requested: Notify::new(),
            report_requested: Notify::new(),
            offer_queue,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            store: Mutex::default(),
            reports: Mutex::default(),
            counters: Mutex::default(),
            pending_pushes: Mutex::default(),
            fetches: Mutex::default(),
            suspects: Mutex::default(),
            source_responded_at: Mutex::default(),
            last_confirmed_at: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        };
        (shared, offers)
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    pub(crate) fn reports(&self) -> MutexGuard<'_, ReportTable> {
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

    /// Minimum time between two reads of this node, so that the fleet stays within its read budget even if
    /// every node reads.
    pub(crate) fn read_gap(&self) -> Duration {
        let nodes = u32::try_from(self.peers().len() + 1).unwrap_or(u32::MAX);
        self.tuning.read_gap_per_node.saturating_mul(nodes)
    }

    pub(crate) fn ranking<'a>(&'a self, peers: &'a [PeerView]) -> Ranking<'a> {
        Ranking::new(&self.vm, &self.data_centre, peers)
    }

    /// The neighbours, chosen among the peers that are not suspect.
    pub(crate) fn responsive_neighbours(&self) -> Vec<VmId> {
        let peers = self.peers();
        let is_eligible = |peer: &PeerView| peer.reachable && !self.is_suspect(&peer.vm);
        self.ranking(&peers)
            .neighbours(self.tuning.fanout, is_eligible)
    }

    /// The neighbours, and the replacements of suspect ones. Suspect neighbours are included because they may
    /// respond again.
    pub(crate) fn neighbours(&self) -> Vec<VmId> {
        let peers = self.peers();
        let mut vms = self
            .ranking(&peers)
            .neighbours(self.tuning.fanout, |peer| peer.reachable);
        vms.extend(self.responsive_neighbours());
        vms.sort();
        vms.dedup();
        vms
    }

    /// Clears the suspicion of a peer after a message from it.
    pub(crate) fn clear_suspect(&self, vm: &VmId) {
        lock(&self.suspects).remove(vm);
    }

    /// The watchers of this node's data centre, from the current view of this node.
    pub(crate) fn watchers(&self, peers: &[PeerView]) -> Vec<VmId> {
        let is_eligible = |peer: &PeerView| peer.reachable && !self.is_suspect(&peer.vm);
        let mut vms = self.ranking(peers).watchers(&self.data_centre, is_eligible);
        vms.truncate(self.tuning.watchers);
        vms
    }

    /// Sends a request to a peer and counts it. A peer that fails to respond becomes suspect.
    pub(crate) async fn request(&self, vm: &VmId, msg: ConfigMessage) -> Result<ConfigMessage> {
        let mechanism = msg.mechanism();
        self.counters().sent(mechanism, &msg);
        let response = timeout(self.tuning.request_timeout, self.peers.request(vm, msg)).await;
        let response = response.unwrap_or_else(|_| {
            Err(Error::Peer {
                vm: vm.clone(),
                step: mechanism.name(),
                reason: "no answer in time".to_owned(),
            })
        });
        match &response {
            Ok(msg) => {
                self.counters().received(mechanism, msg);
                lock(&self.suspects).remove(vm);
            }
            Err(_) => {
                self.counters().failed_requests += 1;
                lock(&self.suspects).insert(vm.clone(), Instant::now());
            }
        }
        response
    }

    pub(crate) fn is_suspect(&self, vm: &VmId) -> bool {
        let suspects = lock(&self.suspects);
        suspects
            .get(vm)
            .is_some_and(|at| at.elapsed() < SUSPECT_DURATION)
    }

    /// Marks contents as being fetched. Returns those that were not marked before.
    pub(crate) fn start_fetch(&self, hashes: Vec<ContentHash>) -> Vec<ContentHash> {
        let mut fetches = lock(&self.fetches);
        fetches.retain(|_, at| at.elapsed() < FETCH_TIMEOUT);
        let is_new = |hash: &ContentHash| fetches.insert(*hash, Instant::now()).is_none();
        hashes.into_iter().filter(is_new).collect()
    }

    /// Removes the marks of contents that were received or could not be fetched.
    pub(crate) fn end_fetch(&self, digest: &FileDigest) {
        let accepted = digest.accepted.map(|version| version.hash);
        let seen = digest.seen.and_then(|seen| seen.hash);
        let mut fetches = lock(&self.fetches);
        for hash in accepted.into_iter().chain(seen) {
            fetches.remove(&hash);
        }
    }

    /// Schedules a push of a file to the neighbours, and a report.
    pub(crate) fn schedule_push(&self, name: FileName, from: Option<VmId>) {
        lock(&self.pending_pushes).insert(name, from);
        self.push_requested.notify_one();
        self.report_requested.notify_one();
    }

    pub(crate) fn take_pending_pushes(&self) -> BTreeMap<FileName, Option<VmId>> {
        std::mem::take(&mut lock(&self.pending_pushes))
    }

    pub(crate) fn record_source_response(&self) {
        *lock(&self.source_responded_at) = Some(Instant::now());
        self.record_confirmation();
    }

    /// Records that the configuration service responded, or that a comparison with a peer is complete.
    pub(crate) fn record_confirmation(&self) {
        *lock(&self.last_confirmed_at) = Some(Instant::now());
    }

    /// Time of the last confirmation that the configuration is current.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        *lock(&self.last_confirmed_at)
    }

    /// Time since the last response of the configuration service.
    pub(crate) fn source_age(&self) -> Option<Duration> {
        lock(&self.source_responded_at).map(|at| at.elapsed())
    }

    /// A random duration between 0.5 and 1.5 times `mean`.
    pub(crate) fn jitter(&self, mean: Duration) -> Duration {
        mean.mul_f64(lock(&self.rng).random_range(0.5..1.5))
    }

    /// A random index below `len`.
    pub(crate) fn random_index(&self, len: usize) -> usize {
        lock(&self.rng).random_range(0..len)
    }
}

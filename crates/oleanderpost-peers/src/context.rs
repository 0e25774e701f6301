//! [`Context`]: state shared by all links of one node.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use oleanderpost_types::VmId;
use rand::{CryptoRng, RngExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    AddressBook, LinkLimits, LinkTimings, SharedKey, encoded_handler::EncodedHandler,
    handshake::Identity, link_counters::SharedCounters, peer::Peer,
};

pub(crate) type SharedRng = Mutex<Box<dyn CryptoRng + Send>>;

pub(crate) struct Context {
    pub(crate) own_identity: Identity,
    pub(crate) key: SharedKey,
    pub(crate) timings: LinkTimings,
    pub(crate) limits: LinkLimits,
    pub(crate) address_book: Arc<dyn AddressBook>,
    pub(crate) handler: Arc<dyn EncodedHandler>,
    pub(crate) counters: Arc<SharedCounters>,
    pub(crate) rng: SharedRng,
    /// Limits the bytes that are queued for writing.
    pub(crate) outgoing_bytes: Arc<Semaphore>,
    /// Limits the bytes of messages that are partly received or being handled.
    pub(crate) incoming_bytes: Arc<Semaphore>,
    pub(crate) peers: Mutex<HashMap<VmId, Arc<Peer>>>,
    pub(crate) next_id: AtomicU64,
    pub(crate) tasks: TaskTracker,
    /// Cancelled when the links begin to close.
    pub(crate) closing: CancellationToken,
    /// Cancelled when all remaining connections and tasks must end at once.
    pub(crate) closed: CancellationToken,
}

impl Context {
    /// The peer with this name; a new one is added and its task started.
    pub(crate) fn get_or_add_peer(self: &Arc<Self>, vm: &VmId) -> Arc<Peer> {
        let mut peers = self.lock_peers();
        if let Some(peer) = peers.get(vm) {
            return Arc::clone(peer);
        }
        let peer = Arc::new(Peer::new(vm.clone()));
        peers.insert(vm.clone(), Arc::clone(&peer));
        self.tasks.spawn(Arc::clone(&peer).run(Arc::clone(self)));
        peer
    }

    pub(crate) fn lock_peers(&self) -> MutexGuard<'_, HashMap<VmId, Arc<Peer>>> {
        self.peers.lock().expect("no panic under this lock")
    }

    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Reserves `bytes` of the bytes that may be queued for writing; `None` when too few are free.
    pub(crate) fn reserve_outgoing(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes).ok()?;
        Arc::clone(&self.outgoing_bytes)
            .try_acquire_many_owned(permits)
            .ok()
    }

    pub(crate) fn new_nonce(&self) -> [u8; 32] {
        let mut nonce = [0; 32];
        self.rng
            .lock()
            .expect("no panic under this lock")
            .fill_bytes(&mut nonce);
        nonce
    }

    /// Delay before the next attempt after `failures` failures: it doubles with each failure, and is reduced
    /// at random by up to half.
    pub(crate) fn backoff(&self, failures: u32) -> Duration {
        let multiplier = 1_u32 << failures.saturating_sub(1).min(16);
        let delay = self.timings.backoff_min.saturating_mul(multiplier);
        let delay = delay.min(self.timings.backoff_max);
        let factor: f64 = self
            .rng
            .lock()
            .expect("no panic under this lock")
            .random_range(0.5..1.0);
        delay.mul_f64(factor)
    }
}

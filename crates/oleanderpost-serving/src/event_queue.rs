//! [`EventQueue`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::sleep,
};

use crate::{
    ResponseAborted, UpstreamId, memory_allocation::MemoryAllocation, memory_budget::MemoryBudget,
};

/// Most events that wait for a slow caller. While the queue is full, the engine's connection is not read.
const MAX_EVENTS: usize = 32;
/// Most bytes of events that wait for a slow caller; a larger event waits alone.
const MAX_BYTES: u32 = 256 << 10;
/// Interval between checks for memory while none is left.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The caller no longer reads the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// Events of one stream on their way to the caller.
pub(crate) struct EventQueue {
    tx: mpsc::Sender<Result<Option<Bytes>, ResponseAborted>>,
    bytes_left: Arc<Semaphore>,
    memory: Arc<MemoryBudget<UpstreamId>>,
}

/// An event that counts towards the limits until it has been written to the caller.
struct QueuedEvent {
    bytes: Bytes,
    _bytes_left: OwnedSemaphorePermit,
    _allocation: MemoryAllocation<UpstreamId>,
}

impl AsRef<[u8]> for QueuedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl EventQueue {
    /// Creates a queue, and the receiver for the body of the response.
    pub(crate) fn new(
        memory: &Arc<MemoryBudget<UpstreamId>>,
    ) -> (Self, mpsc::Receiver<Result<Option<Bytes>, ResponseAborted>>) {
        let (tx, rx) = mpsc::channel(MAX_EVENTS);
        let queue = Self {
            tx,
            bytes_left: Arc::new(Semaphore::new(MAX_BYTES as usize)),
            memory: Arc::clone(memory),
        };
        (queue, rx)
    }

    /// Queues an event of `upstream`; waits while too many others wait for the caller.
    pub(crate) async fn push(&self, bytes: Bytes, upstream: &UpstreamId) -> Result<(), CallerGone> {
        let permits = u32::try_from(bytes.len()).map_or(MAX_BYTES, |len| len.min(MAX_BYTES));
        let bytes_left = Arc::clone(&self.bytes_left).acquire_many_owned(permits);
        let event = QueuedEvent {
            _bytes_left: bytes_left.await.map_err(|_| CallerGone)?,
            _allocation: self.allocate(bytes.len(), upstream).await?,
            bytes,
        };
        let sent = self.tx.send(Ok(Some(Bytes::from_owner(event)))).await;
        sent.map_err(|_| CallerGone)
    }

    /// Ends the response as complete.
    pub(crate) async fn finish(self) -> Result<(), CallerGone> {
        self.tx.send(Ok(None)).await.map_err(|_| CallerGone)
    }

    /// Ends the response as incomplete.
    pub(crate) async fn abort(self) {
        // Fails only if the caller has disconnected.
        let _ = self.tx.send(Err(ResponseAborted)).await;
    }

    /// Completes when the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Waits for memory. Events that wait for other callers free it when these read them.
    async fn allocate(
        &self,
        bytes: usize,
        upstream: &UpstreamId,
    ) -> Result<MemoryAllocation<UpstreamId>, CallerGone> {
        while !self.tx.is_closed() {
            let mut allocation = self.memory.allocation(upstream);
            if allocation.resize(bytes).is_ok() && allocation.pin().is_ok() {
                return Ok(allocation);
            }
            sleep(MEMORY_CHECK_INTERVAL).await;
        }
        Err(CallerGone)
    }
}

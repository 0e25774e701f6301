//! [`Counters`].

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Counters since start, for metrics and the state dump.
#[derive(Debug, Default)]
pub struct Counters {
    pub(crate) requests: AtomicU64,
    pub(crate) admitted: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) queued: AtomicU64,
    pub(crate) messages_sent: AtomicU64,
    pub(crate) messages_failed: AtomicU64,
    pub(crate) messages_received: AtomicU64,
    pub(crate) owner_decisions: AtomicU64,
    pub(crate) expired: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    pub(crate) pauses: AtomicU64,
    pub(crate) adoptions: AtomicU64,
}

/// Snapshot of the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that asked for admission.
    pub requests: u64,
    /// Requests that were granted a permit.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that an owner put in its queue.
    pub queued: u64,
    /// Messages sent to other nodes.
    pub messages_sent: u64,
    /// Messages to other nodes that received no reply.
    pub messages_failed: u64,
    /// Messages received from other nodes.
    pub messages_received: u64,
    /// Permit requests handled as an owner.
    pub owner_decisions: u64,
    /// Permits whose holder stopped renewing.
    pub expired: u64,
    /// Holdings that this node, as an owner, cancelled or released on an engine.
    pub cancelled: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Number of times that this node took over an engine.
    pub adoptions: u64,
}

impl Counters {
    /// Reads all counters.
    #[must_use]
    pub fn read(&self) -> Counts {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            requests: get(&self.requests),
            admitted: get(&self.admitted),
            refused: get(&self.refused),
            queued: get(&self.queued),
            messages_sent: get(&self.messages_sent),
            messages_failed: get(&self.messages_failed),
            messages_received: get(&self.messages_received),
            owner_decisions: get(&self.owner_decisions),
            expired: get(&self.expired),
            cancelled: get(&self.cancelled),
            pauses: get(&self.pauses),
            adoptions: get(&self.adoptions),
        }
    }
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

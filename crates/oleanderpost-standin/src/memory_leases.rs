//! [`MemoryLeases`].

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use oleanderpost_types::{Attempt, Holding, HoldingKind, RequestKey, VmId};

use crate::EngineSettings;

/// Memory held until its expiry.
#[derive(Clone, Debug)]
pub(crate) struct MemoryLease {
    pub(crate) attempt: Attempt,
    pub(crate) blocks: u64,
    pub(crate) holder: Option<VmId>,
    created_at: Instant,
    expires_at: Instant,
}

impl MemoryLease {
    pub(crate) fn new(attempt: Attempt, blocks: u64, holder: Option<VmId>, ttl: Duration) -> Self {
        let created_at = Instant::now();
        let expires_at = created_at + ttl;
        Self {
            attempt,
            blocks,
            holder,
            created_at,
            expires_at,
        }
    }
}

/// Memory that is not held by streams: either reservations or exported caches, each with an expiry.
#[derive(Debug)]
pub(crate) struct MemoryLeases {
    kind: HoldingKind,
    leases: BTreeMap<RequestKey, MemoryLease>,
}

impl MemoryLeases {
    pub(crate) fn new(kind: HoldingKind) -> Self {
        let leases = BTreeMap::new();
        Self { kind, leases }
    }

    pub(crate) fn insert(&mut self, key: RequestKey, lease: MemoryLease) {
        self.leases.insert(key, lease);
    }

    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<MemoryLease> {
        self.leases.remove(&key)
    }

    /// Returns the number of blocks held under `key`.
    pub(crate) fn blocks_of(&self, key: RequestKey) -> Option<u64> {
        self.leases.get(&key).map(|lease| lease.blocks)
    }

    pub(crate) fn clear(&mut self) {
        self.leases.clear();
    }

    pub(crate) fn blocks(&self) -> u64 {
        self.leases.values().map(|lease| lease.blocks).sum()
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, lease| lease.expires_at > now);
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    pub(crate) fn holdings(&self, now: Instant, settings: &EngineSettings) -> Vec<Holding> {
        let holding = |(key, lease): (&RequestKey, &MemoryLease)| Holding {
            key: *key,
            attempt: lease.attempt,
            kind: self.kind,
            tokens: settings.tokens(lease.blocks),
            holder: lease.holder.clone(),
            age: (now - lease.created_at).into(),
        };
        self.leases.iter().map(holding).collect()
    }
}

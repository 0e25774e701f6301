//! [`MemoryBudget`].

use std::{
    collections::HashMap,
    hash::Hash,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use slotmap::{SlotMap, new_key_type};
use tokio_util::sync::CancellationToken;

use crate::memory_allocation::MemoryAllocation;

new_key_type! {
    /// Key of an allocation in its budget.
    pub(crate) struct AllocationKey;
}

/// The budget has no memory for a buffer: it is used up, or the buffer has been revoked in favour of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for data from this source")]
pub struct OutOfMemory;

/// Limits the memory for data that the node receives, and shares it between the sources of the data.
///
/// When the limit is reached, the largest incomplete buffer of the source that uses most is revoked: its data is of no use
/// without the rest, and other sources lose nothing as long as they use less. Its bytes no longer count although its
/// task frees them only when it runs next.
#[derive(Debug)]
pub(crate) struct MemoryBudget<S> {
    limit_bytes: usize,
    usage: Mutex<Usage<S>>,
}

#[derive(Debug)]
struct Usage<S> {
    total_bytes: usize,
    /// Sources without bytes have no entry.
    by_source: HashMap<S, usize>,
    allocations: SlotMap<AllocationKey, AllocationState<S>>,
}

#[derive(Debug)]
struct AllocationState<S> {
    source: S,
    bytes: usize,
    /// Whether the buffer is complete, so that it is not revoked any more.
    is_pinned: bool,
    revoked: CancellationToken,
}

impl<S: Clone + Eq + Hash> MemoryBudget<S> {
    /// Creates a budget of `limit_bytes` bytes.
    pub(crate) fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes,
            usage: Mutex::new(Usage {
                total_bytes: 0,
                by_source: HashMap::new(),
                allocations: SlotMap::with_key(),
            }),
        })
    }

    /// An empty allocation for data from `source`.
    pub(crate) fn allocation(self: &Arc<Self>, source: &S) -> MemoryAllocation<S> {
        let revoked = CancellationToken::new();
        let key = self.lock().allocations.insert(AllocationState {
            source: source.clone(),
            bytes: 0,
            is_pinned: false,
            revoked: revoked.clone(),
        });
        MemoryAllocation::new(Arc::clone(self), key, revoked)
    }

    /// Bytes that are in use.
    pub(crate) fn used_bytes(&self) -> usize {
        self.lock().total_bytes
    }

    /// Changes the size of an allocation to `preferred` bytes, or to only the `needed` ones if others would lose theirs
    /// otherwise. Returns the new size. The size stays as it is if there is not enough memory.
    pub(crate) fn resize(
        &self,
        key: AllocationKey,
        needed: usize,
        preferred: usize,
    ) -> Result<usize, OutOfMemory> {
        let mut usage = self.lock();
        let state = usage.allocations.get(key).ok_or(OutOfMemory)?;
        if state.revoked.is_cancelled() {
            return Err(OutOfMemory);
        }
        let bytes = state.bytes;
        if usage.total_bytes - bytes + preferred <= self.limit_bytes {
            usage.set_bytes(key, preferred);
            return Ok(preferred);
        }
        let growth = needed.saturating_sub(bytes);
        while growth > 0 && usage.total_bytes + growth > self.limit_bytes {
            match usage.largest_incomplete(key, growth) {
                Some(victim) if victim != key => usage.revoke(victim),
                _ => return Err(OutOfMemory),
            }
        }
        usage.set_bytes(key, needed);
        Ok(needed)
    }

    /// Excludes an allocation from being revoked, since its data is complete.
    pub(crate) fn pin(&self, key: AllocationKey) -> Result<(), OutOfMemory> {
        let mut usage = self.lock();
        match usage.allocations.get_mut(key) {
            Some(state) if !state.revoked.is_cancelled() => state.is_pinned = true,
            _ => return Err(OutOfMemory),
        }
        Ok(())
    }

    /// Returns the bytes of an allocation to the budget.
    pub(crate) fn free(&self, key: AllocationKey) {
        let mut usage = self.lock();
        usage.set_bytes(key, 0);
        usage.allocations.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, Usage<S>> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: Clone + Eq + Hash> Usage<S> {
    /// The largest incomplete buffer of the source that uses most, with `growth` more bytes for the allocation `growing`.
    fn largest_incomplete(&self, growing: AllocationKey, growth: usize) -> Option<AllocationKey> {
        let growing_source = self.allocations.get(growing).map(|state| &state.source);
        let candidates = self.allocations.iter().filter(|(key, state)| {
            let holds_bytes = state.bytes > 0 || *key == growing;
            holds_bytes && !state.is_pinned && !state.revoked.is_cancelled()
        });
        let largest = candidates.max_by_key(|(key, state)| {
            let of_source = self.by_source.get(&state.source).copied().unwrap_or(0);
            let added_to_source = match growing_source {
                Some(source) if *source == state.source => growth,
                _ => 0,
            };
            let added = if *key == growing { growth } else { 0 };
            (of_source + added_to_source, state.bytes + added)
        });
        largest.map(|(key, _)| key)
    }

    fn revoke(&mut self, key: AllocationKey) {
        self.set_bytes(key, 0);
        if let Some(state) = self.allocations.get(key) {
            state.revoked.cancel();
        }
    }

    fn set_bytes(&mut self, key: AllocationKey, bytes: usize) {
        let Some(state) = self.allocations.get_mut(key) else {
            return;
        };
        self.total_bytes = self.total_bytes - state.bytes + bytes;
        let of_source = self.by_source.entry(state.source.clone()).or_insert(0);
        *of_source = *of_source - state.bytes + bytes;
        if *of_source == 0 {
            self.by_source.remove(&state.source);
        }
        state.bytes = bytes;
    }
}

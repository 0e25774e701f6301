//! [`MemoryAllocation`].

use std::{hash::Hash, sync::Arc};

use tokio_util::sync::CancellationToken;

use crate::memory_budget::{AllocationKey, MemoryBudget, OutOfMemory};

/// Part of a [`MemoryBudget`] that one buffer uses; returned to the budget on drop.
#[derive(Debug)]
pub(crate) struct MemoryAllocation<S: Clone + Eq + Hash> {
    budget: Arc<MemoryBudget<S>>,
    key: AllocationKey,
    bytes: usize,
    revoked: CancellationToken,
}

impl<S: Clone + Eq + Hash> MemoryAllocation<S> {
    pub(crate) fn new(
        budget: Arc<MemoryBudget<S>>,
        key: AllocationKey,
        revoked: CancellationToken,
    ) -> Self {
        Self {
            budget,
            key,
            bytes: 0,
            revoked,
        }
    }

    /// Changes the size to `bytes`.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.grow(bytes, bytes).map(|_| ())
    }

    /// Changes the size to `preferred` bytes, or to only the `needed` ones if others would lose theirs otherwise. Returns
    /// the new size.
    pub(crate) fn grow(&mut self, needed: usize, preferred: usize) -> Result<usize, OutOfMemory> {
        if needed != self.bytes || preferred != self.bytes {
            self.bytes = self.budget.resize(self.key, needed, preferred)?;
        }
        Ok(self.bytes)
    }

    /// Excludes the allocation from being revoked from now on.
    pub(crate) fn pin(&self) -> Result<(), OutOfMemory> {
        self.budget.pin(self.key)
    }

    /// Cancelled when the allocation is revoked. The buffer must be dropped then.
    pub(crate) fn revocation(&self) -> CancellationToken {
        self.revoked.clone()
    }
}

impl<S: Clone + Eq + Hash> Drop for MemoryAllocation<S> {
    fn drop(&mut self) {
        self.budget.free(self.key);
    }
}

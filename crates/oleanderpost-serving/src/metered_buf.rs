//! [`MeteredBuf`].

use std::{hash::Hash, sync::Arc};

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use crate::{
    memory_allocation::MemoryAllocation,
    memory_budget::{MemoryBudget, OutOfMemory},
};

/// Smallest capacity that a buffer grows to, in bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// One contiguous buffer, all of whose capacity counts towards a [`MemoryBudget`].
///
/// Received pieces are copied. Kept as they are, each small piece would take an entry of some tens of bytes in a list and
/// keep the whole read buffer that it came in.
#[derive(Debug)]
pub(crate) struct MeteredBuf<S: Clone + Eq + Hash> {
    buf: Vec<u8>,
    /// Length that the sender states; nothing is allocated before it is needed, as the sender may be slow.
    stated_len: Option<usize>,
    allocation: MemoryAllocation<S>,
}

impl<S: Clone + Eq + Hash> MeteredBuf<S> {
    /// Creates an empty buffer for data from `source`.
    pub(crate) fn new(budget: &Arc<MemoryBudget<S>>, source: &S) -> Self {
        Self {
            buf: Vec::new(),
            stated_len: None,
            allocation: budget.allocation(source),
        }
    }

    /// Sets the length that the sender states, beyond which the capacity does not grow in advance.
    pub(crate) fn with_stated_len(self, stated_len: Option<u64>) -> Self {
        Self {
            stated_len: stated_len.and_then(|len| usize::try_from(len).ok()),
            ..self
        }
    }

    /// Appends bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), OutOfMemory> {
        let needed = self.buf.len() + bytes.len();
        if needed > self.buf.capacity() {
            let doubled = (2 * self.buf.capacity()).max(MIN_CAPACITY);
            let useful = self.stated_len.unwrap_or(doubled);
            let preferred = doubled.min(useful).max(needed);
            let capacity = self.allocation.grow(needed, preferred)?;
            self.buf.reserve_exact(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Cancelled when the budget needs the memory for others. The buffer must be dropped then.
    pub(crate) fn revocation(&self) -> CancellationToken {
        self.allocation.revocation()
    }
}

impl<S: Clone + Eq + Hash + Send + 'static> MeteredBuf<S> {
    /// The complete data. It counts towards the budget until the last reference to it is dropped.
    pub(crate) fn freeze(mut self) -> Result<Bytes, OutOfMemory> {
        self.allocation.pin()?;
        self.buf.shrink_to_fit();
        self.allocation.resize(self.buf.capacity())?;
        Ok(Bytes::from_owner(self))
    }
}

impl<S: Clone + Eq + Hash> AsRef<[u8]> for MeteredBuf<S> {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

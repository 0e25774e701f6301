//! [`BodyBudget`].

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Limits the memory that all request bodies of the node use together.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    allocated_bytes: AtomicUsize,
    limit_bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit_bytes` bytes.
    pub(crate) fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            allocated_bytes: AtomicUsize::new(0),
            limit_bytes,
        })
    }

    /// An empty allocation for one request body.
    pub(crate) fn allocation(self: &Arc<Self>) -> BodyAllocation {
        BodyAllocation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// Bytes of the budget that one request body uses; returned to the budget on drop.
#[derive(Debug)]
pub(crate) struct BodyAllocation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyAllocation {
    /// Adds `bytes` to the allocation; `false` if the budget is exceeded.
    ///
    /// The bytes count towards the budget in both cases, until the allocation is dropped.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.budget
            .allocated_bytes
            .fetch_add(bytes, Ordering::AcqRel)
            + bytes
            <= self.budget.limit_bytes
    }
}

impl Drop for BodyAllocation {
    fn drop(&mut self) {
        self.budget
            .allocated_bytes
            .fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

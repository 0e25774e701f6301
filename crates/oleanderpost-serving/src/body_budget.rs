//! [`BodyBudget`].

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bounds the memory that bodies of requests take together.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    held: AtomicUsize,
    most: usize,
}

impl BodyBudget {
    /// A budget of `most` bytes.
    pub(crate) fn new(most: usize) -> Arc<Self> {
        Arc::new(Self {
            held: AtomicUsize::new(0),
            most,
        })
    }

    /// An account for one body.
    pub(crate) fn open(self: &Arc<Self>) -> BodyAllocation {
        BodyAllocation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// Bytes of one body. Dropped, they are free again.
#[derive(Debug)]
pub(crate) struct BodyAllocation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyAllocation {
    /// Takes more bytes; `false` if the budget is spent.
    pub(crate) fn take(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.budget.held.fetch_add(bytes, Ordering::AcqRel) + bytes <= self.budget.most
    }
}

impl Drop for BodyAllocation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

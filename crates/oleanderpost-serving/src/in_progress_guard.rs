//! [`InProgressGuard`].

use std::sync::{Arc, atomic::Ordering};

use crate::EntryContext;

/// Counts a request as in progress until dropped.
pub(crate) struct InProgressGuard {
    entry: Arc<EntryContext>,
}

impl InProgressGuard {
    pub(crate) fn new(entry: Arc<EntryContext>) -> Self {
        entry.in_progress.fetch_add(1, Ordering::AcqRel);
        Self { entry }
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.entry.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

//! [`Progress`].

use std::sync::{Arc, atomic::Ordering};

use crate::EntryContext;

/// Counts a request as in progress while it lives.
pub(crate) struct Progress {
    entry: Arc<EntryContext>,
}

impl Progress {
    pub(crate) fn new(entry: Arc<EntryContext>) -> Self {
        entry.in_progress.fetch_add(1, Ordering::AcqRel);
        Self { entry }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.entry.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

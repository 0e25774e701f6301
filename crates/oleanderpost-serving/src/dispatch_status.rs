//! [`DispatchStatus`].

use std::sync::atomic::{AtomicU32, Ordering};

use crate::RunStatus;

/// Whether an upstream or a peer may have run a request, known while attempts at it are still in progress.
#[derive(Debug, Default)]
pub(crate) struct DispatchStatus {
    /// Attempts after which the request may have run, or that are in progress.
    attempts: AtomicU32,
}

impl DispatchStatus {
    /// Records that the request is about to be sent.
    pub(crate) fn begin_attempt(&self) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// Records how an attempt failed.
    pub(crate) fn end_failed_attempt(&self, ran: RunStatus) {
        if !ran.may_have_run() {
            self.attempts.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Whether the request may have run, or may run yet.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.load(Ordering::Relaxed) > 0
    }
}

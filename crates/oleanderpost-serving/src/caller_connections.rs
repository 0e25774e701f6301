//! [`CallerConnections`].

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// The open connections of callers.
#[derive(Default)]
pub(crate) struct CallerConnections {
    open: AtomicUsize,
    one_closed: Notify,
    closing: CancellationToken,
}

impl CallerConnections {
    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn guard(self: &Arc<Self>) -> CallerConnectionGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        CallerConnectionGuard(Arc::clone(self))
    }

    /// Completes when connections should be closed.
    pub(crate) async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Closes each connection once it has no request, and waits until all are closed.
    pub(crate) async fn close(&self) {
        self.closing.cancel();
        loop {
            let one_closed = self.one_closed.notified();
            if self.open() == 0 {
                return;
            }
            one_closed.await;
        }
    }
}

/// Counts a connection as open until dropped, also by a panic.
pub(crate) struct CallerConnectionGuard(Arc<CallerConnections>);

impl Drop for CallerConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.one_closed.notify_waiters();
    }
}

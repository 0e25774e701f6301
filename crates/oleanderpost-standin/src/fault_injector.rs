//! [`ConnectionFaults`] and [`FaultInjector`].

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use slab::Slab;
use tokio_util::sync::CancellationToken;

/// Injected faults of one connection. Dropping it unregisters the connection from its [`FaultInjector`].
#[derive(Debug)]
pub(crate) struct ConnectionFaults {
    silent: Arc<AtomicBool>,
    reset: CancellationToken,
    slot: usize,
    injector: FaultInjector,
}

impl ConnectionFaults {
    /// Whether data in both directions is discarded.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Returns the token that is cancelled to reset the connection.
    pub(crate) fn reset_token(&self) -> CancellationToken {
        self.reset.clone()
    }
}

impl Drop for ConnectionFaults {
    fn drop(&mut self) {
        self.injector.inner().connections.try_remove(self.slot);
    }
}

/// Injects faults into the connections of one listener.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    connections: Slab<(Arc<AtomicBool>, CancellationToken)>,
    refusing: bool,
}

impl FaultInjector {
    /// Creates an injector without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Permanently silences the currently open connections: they stay open, but no data passes.
    /// Later connections work.
    pub fn silence_connections(&self) {
        for (_, (silent, _)) in &self.inner().connections {
            silent.store(true, Ordering::Relaxed);
        }
    }

    /// Resets the currently open connections.
    pub fn reset_connections(&self) {
        for (_, (_, reset)) in &self.inner().connections {
            reset.cancel();
        }
    }

    /// Sets whether new connections are reset at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.inner().refusing = refusing;
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.inner().connections.len()
    }

    /// Registers a new connection.
    pub(crate) fn add_connection(&self) -> ConnectionFaults {
        let silent = Arc::new(AtomicBool::new(false));
        let reset = CancellationToken::new();
        let mut inner = self.inner();
        if inner.refusing {
            reset.cancel();
        }
        let slot = inner.connections.insert((silent.clone(), reset.clone()));
        ConnectionFaults {
            silent,
            reset,
            slot,
            injector: self.clone(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

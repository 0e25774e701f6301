//! [`ConnectionFaults`] and [`FaultInjector`].

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use slab::Slab;
use tokio_util::sync::CancellationToken;

/// Switches of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionFaults {
    silent: Arc<AtomicBool>,
    reset: CancellationToken,
    slot: usize,
    injector: FaultInjector,
}

impl ConnectionFaults {
    /// Whether bytes of either direction vanish.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Token that is cancelled when the connection is cut.
    pub(crate) fn reset_token(&self) -> CancellationToken {
        self.reset.clone()
    }
}

impl Drop for ConnectionFaults {
    fn drop(&mut self) {
        self.injector.inner().connections.try_remove(self.slot);
    }
}

/// Switches of all open connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    connections: Slab<(Arc<AtomicBool>, CancellationToken)>,
    refusing: bool,
}

impl FaultInjector {
    /// Switches without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the connections that are open now silent for good; later ones work.
    pub fn silence_connections(&self) {
        for (_, (silent, _)) in &self.inner().connections {
            silent.store(true, Ordering::Relaxed);
        }
    }

    /// Cuts the connections that are open now.
    pub fn reset_connections(&self) {
        for (_, (_, reset)) in &self.inner().connections {
            reset.cancel();
        }
    }

    /// Sets whether new connections are cut at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.inner().refusing = refusing;
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.inner().connections.len()
    }

    /// Switches for a new connection.
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

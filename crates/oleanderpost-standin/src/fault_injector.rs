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
    cut: CancellationToken,
    slot: usize,
    gates: FaultInjector,
}

impl ConnectionFaults {
    /// Whether bytes of either direction vanish.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Token that is cancelled when the connection is cut.
    pub(crate) fn cut(&self) -> CancellationToken {
        self.cut.clone()
    }
}

impl Drop for ConnectionFaults {
    fn drop(&mut self) {
        self.gates.inner().open.try_remove(self.slot);
    }
}

/// Switches of all open connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct FaultInjector(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    open: Slab<(Arc<AtomicBool>, CancellationToken)>,
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
        for (_, (silent, _)) in &self.inner().open {
            silent.store(true, Ordering::Relaxed);
        }
    }

    /// Cuts the connections that are open now.
    pub fn reset_connections(&self) {
        for (_, (_, cut)) in &self.inner().open {
            cut.cancel();
        }
    }

    /// Sets whether new connections are cut at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.inner().refusing = refusing;
    }

    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.inner().open.len()
    }

    /// Switches for a new connection.
    pub(crate) fn gate(&self) -> ConnectionFaults {
        let silent = Arc::new(AtomicBool::new(false));
        let cut = CancellationToken::new();
        let mut inner = self.inner();
        if inner.refusing {
            cut.cancel();
        }
        let slot = inner.open.insert((silent.clone(), cut.clone()));
        ConnectionFaults {
            silent,
            cut,
            slot,
            gates: self.clone(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

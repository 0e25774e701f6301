//! [`EngineControl`].

use std::{net::SocketAddr, time::Duration};

/// Tells whether orders may be sent to the engine at an address now.
pub type MaySend = dyn Fn(SocketAddr) -> bool + Send + Sync;

/// Reply of an engine to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveAnswer {
    /// The memory is reserved.
    Held,
    /// Not enough memory is free.
    Full,
}

/// Sends orders about memory reservations to engines.
#[async_trait::async_trait]
pub trait EngineControl: Send + Sync {
    /// Reserves memory, or extends an existing reservation. The order is sent only if `may_send` holds once the
    /// connection is open, since the engine's data centre may have been evacuated in the meantime.
    ///
    /// # Errors
    ///
    /// Why the order was not sent, or why it is unknown whether the engine executed the order.
    async fn reserve(
        &self,
        to: SocketAddr,
        id: &str,
        tokens: u64,
        hold: Duration,
        may_send: &MaySend,
    ) -> Result<ReserveAnswer, String>;

    /// Releases a reservation.
    ///
    /// # Errors
    ///
    /// Why it is unknown whether the engine executed the order.
    async fn release(&self, to: SocketAddr, id: &str) -> Result<(), String>;
}

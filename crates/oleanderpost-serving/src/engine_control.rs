//! [`EngineControl`].

use std::{net::SocketAddr, time::Duration};

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
    /// Reserves memory, or extends an existing reservation.
    ///
    /// # Errors
    ///
    /// Why it is unknown whether the engine executed the order.
    async fn reserve(
        &self,
        to: SocketAddr,
        id: &str,
        tokens: u64,
        hold: Duration,
    ) -> Result<ReserveAnswer, String>;

    /// Releases a reservation.
    ///
    /// # Errors
    ///
    /// Why it is unknown whether the engine executed the order.
    async fn release(&self, to: SocketAddr, id: &str) -> Result<(), String>;
}

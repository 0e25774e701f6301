//! [`EngineControl`].

use std::{net::SocketAddr, time::Duration};

/// What an engine answers to a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveAnswer {
    /// The memory is set aside.
    Held,
    /// The memory is not free.
    Full,
}

/// Orders to engines about their memory.
#[async_trait::async_trait]
pub trait EngineControl: Send + Sync {
    /// Sets memory aside, or extends the time for which it is.
    ///
    /// # Errors
    ///
    /// Why it is not known whether the engine did so.
    async fn reserve(
        &self,
        to: SocketAddr,
        id: &str,
        tokens: u64,
        hold: Duration,
    ) -> Result<ReserveAnswer, String>;

    /// Gives memory back.
    ///
    /// # Errors
    ///
    /// Why it is not known whether the engine did so.
    async fn release(&self, to: SocketAddr, id: &str) -> Result<(), String>;
}

//! [`OrderClient`].

use async_trait::async_trait;

use oleanderpost_types::{EngineState, Order, UpstreamId};

use crate::Result;

/// Sends orders to engines and reads their state.
#[async_trait]
pub trait OrderClient: Send + Sync {
    /// Sends an order and returns the engine's state after it.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`](crate::Error::Refused) if the engine refuses the fencing number or the sender,
    /// [`Error::Upstream`](crate::Error::Upstream) if no answer arrived; the order may still have taken
    /// effect.
    async fn order(&self, engine: &UpstreamId, order: Order) -> Result<EngineState>;

    /// Reads the state of the engine.
    ///
    /// # Errors
    ///
    /// [`Error::Upstream`](crate::Error::Upstream) if no answer arrived.
    async fn state(&self, engine: &UpstreamId) -> Result<EngineState>;
}

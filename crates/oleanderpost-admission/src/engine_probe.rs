//! [`EngineProbe`].

use async_trait::async_trait;
use oleanderpost_types::{
    Attempt, Holding, LoadReport, RequestKey, ReservationRequest, UpstreamId,
};

use crate::Result;

/// Engine operations that admission needs. Implementations limit the duration of each call.
///
/// All calls return [`Error::Engine`](crate::Error::Engine) on failure.
#[async_trait]
pub trait EngineProbe: Send + Sync {
    /// Reads the load report, which lags behind the engine's actual state.
    async fn load(&self, upstream: &UpstreamId) -> Result<LoadReport>;
    /// Reads the streams, reservations and exports that hold memory on the engine.
    async fn holdings(&self, upstream: &UpstreamId) -> Result<Vec<Holding>>;
    /// Cancels a stream and frees its memory; succeeds if the engine holds no such stream.
    async fn cancel(&self, upstream: &UpstreamId, key: RequestKey, attempt: Attempt) -> Result<()>;
    /// Reserves memory for one part of a group.
    async fn reserve(&self, upstream: &UpstreamId, req: &ReservationRequest) -> Result<()>;
    /// Frees a reservation; succeeds if the engine holds none.
    async fn release(&self, upstream: &UpstreamId, key: RequestKey) -> Result<()>;
}

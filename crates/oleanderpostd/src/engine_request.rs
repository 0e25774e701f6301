//! [`EngineRequest`].

use std::time::Duration;

use bytes::Bytes;
use oleanderpost::types::{Attempt, Priority, RequestId, RequestKey};

/// One attempt at a completion, to be sent to an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    /// Request id for the engine's logs.
    pub(crate) id: RequestId,
    /// Idempotency key.
    pub(crate) key: RequestKey,
    /// Number of the attempt.
    pub(crate) attempt: Attempt,
    /// Priority.
    pub(crate) priority: Priority,
    /// Time left for the request.
    pub(crate) time_left: Duration,
    /// Number of engines in the group that serves the request.
    pub(crate) group_size: usize,
    /// Key of the memory reservation at the engines of the group.
    pub(crate) reservation: Option<RequestKey>,
    /// JSON body, with the name of the engine's model.
    pub(crate) body: Bytes,
}

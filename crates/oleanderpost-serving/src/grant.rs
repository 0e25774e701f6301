//! [`Grant`].

use serde::{Deserialize, Serialize};

use crate::UpstreamId;

/// Engines assigned to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Engine that receives the request and decodes the answer.
    pub engine: UpstreamId,
    /// Engines that prefill parts of the prompt.
    pub helpers: Vec<UpstreamId>,
    /// Tokens of memory to reserve on each engine, if the prompt exceeds the memory of one engine.
    pub reserve_tokens: Option<f64>,
    /// Expected time to the first event in milliseconds.
    pub first_event_ms: f64,
}

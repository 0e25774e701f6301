//! [`Grant`].

use serde::{Deserialize, Serialize};

use crate::UpstreamId;

/// Where a request is to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Engine that takes the request.
    pub engine: UpstreamId,
    /// Engines that read parts of the prompt.
    pub helpers: Vec<UpstreamId>,
    /// Tokens of memory that each engine sets aside, if the prompt is larger than one engine's memory.
    pub reserve_tokens: Option<f64>,
    /// Expected time to the first event in milliseconds.
    pub first_event_ms: f64,
}

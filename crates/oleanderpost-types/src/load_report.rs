//! [`LoadReport`].

use serde::{Deserialize, Serialize};

use crate::{Millis, Tokens};

/// Load of one engine (`GET /v1/load`); it may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Total memory for the KV cache.
    pub memory: Tokens,
    /// Memory held by streams and reservations.
    pub held: Tokens,
    /// Prompt tokens waiting for prefill, including prefills in progress.
    pub prefill_backlog: Tokens,
    /// Number of streams that are generating.
    pub decoding: u32,
    /// Number of streams waiting for memory or for their first step.
    pub waiting: u32,
    /// Duration of the last step.
    pub step: Millis,
    /// Age of this report.
    pub age: Millis,
}

//! [`UpstreamSignal`].

use serde::{Deserialize, Serialize};

use crate::{RequestRate, UpstreamId};

/// What an upstream process has stated about itself, as one node tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSignal {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start time of the process, as in [`Upstream::started_at`](crate::Upstream::started_at).
    pub started_at: Option<u64>,
    /// Requests per second that it accepts from all nodes together; `None` if it has stopped to limit them.
    pub limit: Option<RequestRate>,
    /// Whether the process is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// Time for which the process stays cold, in milliseconds, counted from the sending of this message.
    #[serde(default)]
    pub cold_left_ms: Option<u64>,
    /// Time since the response that stated this, in milliseconds.
    pub age_ms: u64,
}

//! [`StreamStatus`].

use serde::{Deserialize, Serialize};

/// Status of a request at an upstream (`GET /v1/streams/{key}`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum StreamStatus {
    /// The upstream never received the request, or no longer keeps its status.
    Absent,
    /// The request is waiting or running.
    Running {
        /// Number of tokens generated so far.
        tokens: u64,
    },
    /// The answer is complete and can still be read.
    Finished {
        /// Number of tokens of the answer.
        tokens: u64,
    },
    /// The request was cancelled or failed.
    Ended,
}

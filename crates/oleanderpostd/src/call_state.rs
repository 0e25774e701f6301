//! [`CallState`].

use oleanderpost::types::{Attempt, UpstreamId};
use serde::Serialize;

/// Current step of a request, for the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub(crate) enum CallState {
    /// Waiting for a claim on its key.
    Claiming,
    /// Waiting for a permit.
    Admitting,
    /// Sent to an upstream.
    Sent {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// The answer is being streamed to the caller.
    Answering {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the attempt.
        attempt: Attempt,
    },
}

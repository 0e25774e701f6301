//! [`RequestCrash`].

use serde::{Deserialize, Serialize};

use crate::{RequestFingerprint, UpstreamId};

/// Crash of an upstream that had a request, as one node reports it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestCrash {
    /// The request.
    pub request: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start time of the process that crashed, as in [`Upstream::started_at`](crate::Upstream::started_at).
    pub started_at: Option<u64>,
    /// Time since the crash, in milliseconds.
    pub age_ms: f64,
}

//! [`ColdLimit`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::RequestRate;

/// What the upstreams of a service tolerate for some time after their start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Time for which an upstream is cold after its start, if it does not state another.
    pub duration: Duration,
    /// Requests per second that a cold upstream tolerates from all nodes together.
    pub requests_per_s: RequestRate,
}

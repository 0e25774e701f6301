//! [`RequestQuarantine`].

use serde::{Deserialize, Serialize};

use crate::RequestFingerprint;

/// Request that crashes upstreams and is refused for that reason, as one node tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestQuarantine {
    /// The request.
    pub request: RequestFingerprint,
    /// Time since the last crash, in milliseconds.
    pub age_ms: f64,
    /// Time left, in milliseconds.
    pub left_ms: f64,
}

impl std::fmt::Display for RequestQuarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "request {} for {:.0} s",
            self.request,
            self.left_ms / 1e3
        )
    }
}

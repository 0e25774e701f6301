//! [`RequestVerdicts`].

use serde::{Deserialize, Serialize};

use crate::{RequestFingerprint, RequestQuarantine};

/// What the scheduler's node tells the others about requests that crash upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestVerdicts {
    /// Requests that are refused.
    pub quarantines: Vec<RequestQuarantine>,
    /// Requests whose next complete response is to be reported, since it clears them.
    pub suspects: Vec<RequestFingerprint>,
}

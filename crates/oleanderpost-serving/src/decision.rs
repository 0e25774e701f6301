//! [`Decision`].

use serde::{Deserialize, Serialize};

use crate::Grant;

/// Scheduling decision for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request may run.
    Run(Grant),
    /// The request is queued; another decision follows.
    Wait,
    /// The request can't be served in time.
    Refuse {
        /// Time after which a retry makes sense, in milliseconds.
        retry_after_ms: f64,
    },
}

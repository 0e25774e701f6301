//! [`Decision`].

use serde::{Deserialize, Serialize};

use crate::Grant;

/// What becomes of a request for an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// It may run.
    Run(Grant),
    /// It waits; another decision follows.
    Wait,
    /// It can't be served in time.
    Refuse {
        /// Time after which another try makes sense, in milliseconds.
        retry_after_ms: f64,
    },
}

//! [`WorkEnd`].

use serde::{Deserialize, Serialize};

/// How a placement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkEnd {
    /// The answer is complete.
    Finished,
    /// The caller disconnected, or the deadline passed while the engine was working.
    Cancelled,
    /// The engine was full and did not run the request.
    Shed,
    /// The engine was unreachable or stopped responding, or its answer was not usable.
    Failed,
    /// The engine closed or reset the connection before the answer was complete.
    Disconnected,
}

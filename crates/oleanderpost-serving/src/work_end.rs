//! [`WorkEnd`].

use serde::{Deserialize, Serialize};

/// How a placement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkEnd {
    /// The answer is whole.
    Finished,
    /// The caller left, or time ran out while the engine worked.
    Cancelled,
    /// The engine was full and did not run it.
    Shed,
    /// The engine could not be reached, fell silent or broke off.
    Failed,
}

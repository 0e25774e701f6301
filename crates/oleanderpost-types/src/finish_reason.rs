//! [`FinishReason`].

use serde::{Deserialize, Serialize};

/// Reason why an engine stopped generating.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached its maximum length.
    Length,
}

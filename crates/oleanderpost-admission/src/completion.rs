//! [`Completion`].

use oleanderpost_types::Tokens;
use serde::{Deserialize, Serialize};

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Completion {
    /// The answer is complete; the upstream holds no memory for it.
    Finished {
        /// Number of tokens generated.
        tokens: Tokens,
    },
    /// Nothing was sent to the upstream.
    NotSent,
    /// The upstream rejected the request.
    Declined,
    /// The upstream failed or could not be reached.
    Failed,
    /// The caller disconnected or the time limit passed.
    Cancelled,
}

impl Completion {
    /// Whether the upstream may still hold memory for the request.
    #[must_use]
    pub const fn may_hold_memory(self) -> bool {
        matches!(self, Self::Failed | Self::Cancelled)
    }
}

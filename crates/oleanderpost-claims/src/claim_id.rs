//! [`ClaimId`].

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Identifier of one claim, that is of one attempt by one node to run the request of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(Uuid);

impl ClaimId {
    /// Creates a random identifier.
    #[must_use]
    pub fn new() -> Self {
        Self(Uuid::new_v4())
    }
}

impl Default for ClaimId {
    fn default() -> Self {
        Self::new()
    }
}

impl std::fmt::Display for ClaimId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Display::fmt(&self.0, f)
    }
}

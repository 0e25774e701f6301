//! [`PeerEvidence`].

use serde::{Deserialize, Serialize};

/// What a node tells others of how current its knowledge is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEvidence {
    /// Version of its configuration.
    pub version: u64,
    /// Age of its evidence in milliseconds, rounded up.
    pub age_ms: u64,
    /// Position of the store up to which it has seen changes.
    pub revision: u64,
}

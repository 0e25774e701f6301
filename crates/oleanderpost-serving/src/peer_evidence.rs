//! [`PeerEvidence`].

use serde::{Deserialize, Serialize};

use crate::StorePosition;

/// Evidence that a node sends to its peers about how current its state is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEvidence {
    /// Version of the configuration that the node has applied.
    pub version: u64,
    /// Age of its evidence in milliseconds, rounded up.
    pub age_ms: u64,
    /// Position of the store up to which it has applied changes.
    #[serde(flatten)]
    pub position: StorePosition,
}

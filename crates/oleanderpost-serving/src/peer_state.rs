//! [`PeerState`].

use serde::{Deserialize, Serialize};

use crate::{PeerEvidence, ServingConfig, Upstream};

/// All that a node knows, for another one that the store does not answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// How current it is.
    pub evidence: PeerEvidence,
    /// Configuration in force.
    #[serde(rename = "deployment")]
    pub config: ServingConfig,
    /// Upstreams; those that are known to leave are marked as draining.
    pub upstreams: Vec<Upstream>,
}

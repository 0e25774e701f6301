//! [`PeerState`].

use serde::{Deserialize, Serialize};

use crate::{Deployment, PeerEvidence, Upstream};

/// All that a node knows, for another one that the store does not answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// How current it is.
    pub evidence: PeerEvidence,
    /// Configuration in force.
    pub deployment: Deployment,
    /// Upstreams; those that are known to leave are marked as draining.
    pub upstreams: Vec<Upstream>,
}

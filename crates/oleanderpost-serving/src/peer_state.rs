//! [`PeerState`].

use serde::{Deserialize, Serialize};

use crate::{PeerEvidence, ServingConfig, Upstream};

/// Full state of a node, sent to a peer to which the discovery store does not respond.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// Evidence of how current the state is.
    pub evidence: PeerEvidence,
    /// Applied configuration.
    #[serde(rename = "deployment")]
    pub config: ServingConfig,
    /// All upstreams; those that are known to shut down are marked as draining.
    pub upstreams: Vec<Upstream>,
}

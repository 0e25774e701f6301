//! [`PeerState`].

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, PeerEvidence, ServingConfig, Upstream};

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
    /// Data centres under evacuation; `None` if the sender does not know them, as earlier versions don't.
    #[serde(default)]
    pub evacuated: Option<Vec<DataCentreName>>,
}

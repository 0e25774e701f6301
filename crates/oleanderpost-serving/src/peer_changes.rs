//! [`PeerChanges`].

use serde::{Deserialize, Serialize};

use crate::{ConfigDelta, EvacuationChange, PeerEvidence, UpstreamChange};

/// Changes since a position, sent to a peer that follows this node in place of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerChanges {
    /// Evidence of how current the state is with these changes applied.
    pub evidence: PeerEvidence,
    /// Changes of upstreams, in order.
    pub upstreams: Vec<UpstreamChange>,
    /// Difference to the configuration that the receiver has, if there is a newer one.
    #[serde(default)]
    pub config: Option<ConfigDelta>,
    /// Changes of evacuations, in order; `None` if the sender does not know all of them, as earlier versions don't.
    /// The receiver must then read the changes from the store.
    #[serde(default)]
    pub evacuations: Option<Vec<EvacuationChange>>,
    /// Remaining time for which missing upstreams are kept after an outage of the store, in milliseconds.
    pub missing_grace_ms: u64,
}

//! [`ClaimsDump`].

use serde::Serialize;

use oleanderpost_types::{Revision, VmId};

use crate::Counters;

/// State of the claims as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimsDump {
    /// VM of this node.
    pub vm: VmId,
    /// Revision of the current VM list; zero if there is none.
    pub revision: Revision,
    /// Number of entry VMs in that list.
    pub nodes: usize,
    /// Number of different VM lists kept.
    pub revisions_held: usize,
    /// Number of listed nodes that have confirmed their VM list since this process started.
    pub confirmed_nodes: usize,
    /// Number of confirmations required, including this node's own.
    pub quorum: usize,
    /// Number of keys kept as a witness.
    pub keys: usize,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Event counters.
    pub counters: Counters,
}

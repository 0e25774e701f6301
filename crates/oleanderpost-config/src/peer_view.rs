//! [`PeerView`].

use oleanderpost_types::{DataCentre, VmId};

/// A peer as seen by this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// VM of the peer.
    pub vm: VmId,
    /// Data centre of the peer.
    pub data_centre: DataCentre,
    /// Whether the peer can be reached.
    pub reachable: bool,
}

//! [`PeerView`].

use oleanderpost_types::{DataCentre, Incarnation, VmId};

use crate::Reachability;

/// State of the links to one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The peer.
    pub vm: VmId,
    /// Its incarnation and data centre; `None` before the first handshake.
    pub identity: Option<(Incarnation, DataCentre)>,
    /// Whether connections to it can be opened.
    pub reachability: Reachability,
    /// Open connections.
    pub connections: usize,
    /// Messages queued for writing.
    pub queued: usize,
    /// Requests that wait for an answer.
    pub pending: usize,
}

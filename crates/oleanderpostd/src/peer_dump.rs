//! [`PeerDump`].

use oleanderpost::{
    peers::{PeerView, Reachability},
    types::{Incarnation, Millis, VmId},
};
use serde::Serialize;

/// State of the links with one peer, for the dump.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PeerDump {
    /// VM of the peer.
    vm: VmId,
    /// Incarnation of the peer, once a handshake has authenticated it.
    incarnation: Option<Incarnation>,
    /// Time for which connections to the peer have failed.
    unreachable_for: Option<Millis>,
    /// Number of open connections.
    connections: usize,
    /// Number of messages waiting to be written.
    queued: usize,
    /// Number of requests waiting for a reply.
    pending: usize,
}

impl PeerDump {
    pub(crate) fn new(view: &PeerView) -> Self {
        Self {
            vm: view.vm.clone(),
            incarnation: view.identity.as_ref().map(|(incarnation, _)| *incarnation),
            unreachable_for: match view.reachability {
                Reachability::Unreachable { since } => Some(since.elapsed().into()),
                _ => None,
            },
            connections: view.connections,
            queued: view.queued,
            pending: view.pending,
        }
    }
}

//! [`Dump`].

use std::sync::Arc;

use oleanderpost::{
    admission, claims,
    config::ConfigStatus,
    peers::{LeavingMark, LinkCounters, RosterCounters},
    types::{DataCentre, VmId, VmList},
};
use serde::Serialize;

use crate::{Node, PeerDump, in_flight_calls::InFlightCall};

/// State of a node, for operators.
#[derive(Serialize)]
pub(crate) struct Dump {
    /// VM of the node.
    vm: VmId,
    /// Data centre of the node.
    data_centre: DataCentre,
    /// Whether the node is ready for requests.
    ready: bool,
    /// Requests in progress.
    in_flight: Vec<InFlightCall>,
    /// Status of the configuration.
    config: ConfigStatus,
    /// VM list in use.
    vms: Arc<VmList>,
    /// Marks of VMs that are leaving.
    leaving: Vec<LeavingMark>,
    /// Counters of the roster.
    roster: RosterCounters,
    /// State of the links with each peer.
    peers: Vec<PeerDump>,
    /// Counters of all links.
    links: LinkCounters,
    /// State of admission.
    admission: admission::Dump,
    /// State of claims.
    claims: claims::ClaimsDump,
    /// State of the orders to engines.
    orders: claims::OrdersDump,
}

impl Dump {
    pub(crate) fn new(node: &Node) -> Self {
        Self {
            vm: node.settings.vm.clone(),
            data_centre: node.settings.data_centre.clone(),
            ready: node.is_ready(),
            in_flight: node.in_flight.dump(),
            config: node.convergence.status(),
            vms: node.roster.list(),
            leaving: node.roster.leaving_marks(),
            roster: node.roster.counters(),
            peers: node.links.peers().iter().map(PeerDump::new).collect(),
            links: node.links.counters(),
            admission: node.admission.dump(),
            claims: node.claims.dump(),
            orders: node.order_reconciler.dump(),
        }
    }
}

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

/// State of one node, for operators.
#[derive(Serialize)]
pub(crate) struct Dump {
    /// VM of the node.
    vm: VmId,
    /// Its data centre.
    data_centre: DataCentre,
    /// Whether the balancer should send requests here.
    ready: bool,
    /// Requests in progress.
    in_flight: Vec<InFlightCall>,
    /// Configuration.
    config: ConfigStatus,
    /// VM list in use.
    vms: Arc<VmList>,
    /// Leaving marks.
    leaving: Vec<LeavingMark>,
    /// What the roster has done.
    roster: RosterCounters,
    /// Links with each peer.
    peers: Vec<PeerDump>,
    /// What the links have done.
    links: LinkCounters,
    /// Admission.
    admission: admission::Dump,
    /// Claims.
    claims: claims::ClaimsDump,
    /// Orders to engines.
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

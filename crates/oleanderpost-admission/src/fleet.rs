//! [`Fleet`].

use std::collections::BTreeMap;

use oleanderpost_types::{AccountName, DataCentre, ServiceName, Tokens, UpstreamId, VmId};

use crate::{
    AccountView, Directory, NodeView, ServiceView, UpstreamState, UpstreamView, rendezvous,
};

/// Snapshot of the directory, with the owner of each engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    nodes: Vec<NodeView>,
    services: BTreeMap<ServiceName, FleetService>,
    /// Service of each engine and its index in that service's upstreams.
    engines: BTreeMap<UpstreamId, (ServiceName, usize)>,
}

/// A service and its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FleetService {
    pub(crate) view: ServiceView,
    /// Upstreams in the order in which long prompts prefer them.
    pub(crate) upstreams: Vec<FleetUpstream>,
    /// Upstreams as listed by the directory, to detect changes.
    listed: Vec<UpstreamView>,
}

/// Divisor of an engine's memory that gives the part which long prompts leave to shorter ones.
pub(crate) const SHORT_MEMORY_DIVISOR: u64 = 16;

/// An upstream and its owner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FleetUpstream {
    pub(crate) view: UpstreamView,
    /// Node that owns it; `None` if no node is reachable.
    pub(crate) owner: Option<VmId>,
    /// Position in the order in which long prompts prefer engines.
    pub(crate) rank: usize,
}

impl Fleet {
    /// Reads the directory and returns a new snapshot, or `None` if nothing has changed.
    pub(crate) fn reload(&self, directory: &dyn Directory) -> Option<Self> {
        let mut nodes = directory.nodes();
        nodes.sort();
        let views: Vec<_> = directory
            .services()
            .into_iter()
            .map(|view| (directory.upstreams(&view.name), view))
            .collect();
        if nodes == self.nodes && self.is_unchanged(&views) {
            return None;
        }
        let services: BTreeMap<_, _> = views
            .into_iter()
            .map(|(listed, view)| (view.name.clone(), FleetService::new(view, listed, &nodes)))
            .collect();
        let engines = services.values().filter(|service| service.view.has_engines);
        let engines = engines.flat_map(FleetService::engine_positions).collect();
        Some(Self {
            nodes,
            services,
            engines,
        })
    }

    fn is_unchanged(&self, views: &[(Vec<UpstreamView>, ServiceView)]) -> bool {
        let same = |(listed, view): &(Vec<UpstreamView>, ServiceView)| {
            let service = self.services.get(&view.name);
            service.is_some_and(|service| service.view == *view && service.listed == *listed)
        };
        views.len() == self.services.len() && views.iter().all(same)
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&FleetService> {
        self.services.get(name)
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = &FleetService> {
        self.services.values()
    }

    /// All engines of all services.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &FleetUpstream> {
        self.services
            .values()
            .filter(|service| service.view.has_engines)
            .flat_map(|service| &service.upstreams)
    }

    pub(crate) fn engine(&self, id: &UpstreamId) -> Option<&FleetUpstream> {
        let (service, position) = self.engines.get(id)?;
        self.services.get(service)?.upstreams.get(*position)
    }

    pub(crate) fn is_reachable(&self, vm: &VmId) -> bool {
        self.nodes
            .iter()
            .any(|node| node.vm == *vm && node.reachable)
    }

    pub(crate) fn is_listed(&self, vm: &VmId) -> bool {
        self.nodes.iter().any(|node| node.vm == *vm)
    }

    pub(crate) fn reachable_nodes(&self) -> impl Iterator<Item = &NodeView> {
        self.nodes.iter().filter(|node| node.reachable)
    }

    /// Number of reachable nodes, including this one.
    pub(crate) fn reachable_count(&self) -> usize {
        self.reachable_nodes().count()
    }

    /// The reachable node responsible for `item`, chosen by rendezvous hashing.
    pub(crate) fn responsible_node(&self, item: &str) -> Option<VmId> {
        highest_weight_node(&self.nodes, item, None)
    }
}

impl FleetService {
    fn new(view: ServiceView, listed: Vec<UpstreamView>, nodes: &[NodeView]) -> Self {
        let mut ranked = listed.clone();
        let name = view.name.as_str();
        ranked.sort_by_key(|upstream| rendezvous::weight(name, upstream.id.as_str()));
        let upstreams = ranked.into_iter().enumerate();
        let upstreams = upstreams
            .map(|(rank, upstream)| FleetUpstream {
                owner: choose_owner(&upstream, nodes),
                view: upstream,
                rank,
            })
            .collect();
        Self {
            view,
            upstreams,
            listed,
        }
    }

    fn engine_positions(&self) -> impl Iterator<Item = (UpstreamId, (ServiceName, usize))> {
        let upstreams = self.upstreams.iter().enumerate();
        upstreams.map(|(position, upstream)| {
            let service = self.view.name.clone();
            (upstream.view.id.clone(), (service, position))
        })
    }

    pub(crate) fn account(&self, name: &AccountName) -> Option<&AccountView> {
        self.view
            .accounts
            .iter()
            .find(|account| account.name == *name)
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &FleetUpstream> {
        self.upstreams
            .iter()
            .filter(|upstream| upstream.view.state == UpstreamState::Live)
    }

    /// Maximum memory that one prompt may use on a single live engine; larger requests need a group.
    pub(crate) fn max_single_memory(&self) -> Tokens {
        let memories = self.live().map(|upstream| upstream.view.memory.get());
        let max_memory = memories.max().unwrap_or_default();
        let is_only_engine = self.live().nth(1).is_none();
        let reserved = if is_only_engine {
            0
        } else {
            max_memory / SHORT_MEMORY_DIVISOR
        };
        Tokens::new(max_memory - reserved)
    }
}

fn choose_owner(upstream: &UpstreamView, nodes: &[NodeView]) -> Option<VmId> {
    let id = upstream.id.as_str();
    highest_weight_node(nodes, id, Some(&upstream.data_centre))
        .or_else(|| highest_weight_node(nodes, id, None))
}

fn highest_weight_node(
    nodes: &[NodeView],
    item: &str,
    data_centre: Option<&DataCentre>,
) -> Option<VmId> {
    nodes
        .iter()
        .filter(|node| node.reachable)
        .filter(|node| data_centre.is_none_or(|data_centre| node.data_centre == *data_centre))
        .max_by_key(|node| rendezvous::weight(item, node.vm.as_str()))
        .map(|node| node.vm.clone())
}

//! [`FleetDirectory`].

use std::sync::Arc;

use oleanderpost::{
    admission::{AccountView, Directory, NodeView, ServiceView, UpstreamState, UpstreamView},
    config::{Convergence, Service, ServiceKind, Snapshot, Upstream},
    peers::Roster,
    types::{ServiceName, Vm, VmId},
};

/// [`Directory`] that gives admission the services and upstreams of the configuration and the nodes of the
/// roster.
pub(crate) struct FleetDirectory {
    own_vm: VmId,
    convergence: Convergence,
    roster: Arc<Roster>,
}

impl FleetDirectory {
    pub(crate) fn new(own_vm: VmId, convergence: Convergence, roster: Arc<Roster>) -> Self {
        Self {
            own_vm,
            convergence,
            roster,
        }
    }

    fn upstream_view(&self, upstream: &Upstream) -> UpstreamView {
        UpstreamView {
            id: upstream.id.clone(),
            data_centre: upstream.data_centre.clone(),
            memory: upstream.memory,
            state: self.state(&upstream.vm),
        }
    }

    fn state(&self, vm: &VmId) -> UpstreamState {
        if self.roster.vm(vm).is_none() {
            return UpstreamState::Gone;
        }
        if self.roster.is_leaving(vm) {
            return UpstreamState::Leaving;
        }
        UpstreamState::Live
    }

    fn node_view(&self, vm: Vm) -> NodeView {
        NodeView {
            reachable: vm.id == self.own_vm || self.roster.is_usable(&vm.id),
            vm: vm.id,
            data_centre: vm.data_centre,
        }
    }
}

impl Directory for FleetDirectory {
    fn services(&self) -> Vec<ServiceView> {
        let snapshot = self.convergence.snapshot();
        let view = |service| service_view(&snapshot, service);
        snapshot.services().map(view).collect()
    }

    fn upstreams(&self, service: &ServiceName) -> Vec<UpstreamView> {
        let snapshot = self.convergence.snapshot();
        let Some(service) = snapshot.service(service) else {
            return Vec::new();
        };
        let upstreams = service.upstreams.iter();
        upstreams.map(|u| self.upstream_view(u)).collect()
    }

    fn nodes(&self) -> Vec<NodeView> {
        let nodes = self.roster.entry_vms().into_iter();
        nodes.map(|vm| self.node_view(vm)).collect()
    }
}

fn service_view(snapshot: &Snapshot, service: &Service) -> ServiceView {
    let callers = snapshot
        .accounts()
        .filter(|account| account.services.contains(&service.name));
    let accounts = callers.map(|account| AccountView {
        name: account.name.clone(),
        share: account.share,
        requests_per_second: account.requests_per_second,
        tokens_per_second: account.tokens_per_second,
    });
    ServiceView {
        name: service.name.clone(),
        has_engines: service.kind == ServiceKind::Engines,
        classes: service.classes.iter().map(|class| class.up_to).collect(),
        time_limit: service.time_limit_ms,
        accounts: accounts.collect(),
    }
}

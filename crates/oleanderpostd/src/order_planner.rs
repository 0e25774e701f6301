//! [`OrderPlanner`].

use std::sync::Arc;

use oleanderpost::{
    claims::{EngineTarget, ModelTarget, OrderPlan, PlanSource, ServiceTarget, fencing_number},
    config::{Convergence, ModelVersion, Rollout, Service, Snapshot},
    peers::Roster,
    types::{EngineRole, UpstreamId, VmId},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Plans the orders that this node sends to engines, from the configuration in force.
///
/// Rendezvous hashing over the usable nodes assigns each engine to one node. Nodes may disagree for a short
/// time on which nodes are usable, so two nodes may send orders to an engine; with the same configuration,
/// these orders are equal.
pub(crate) struct OrderPlanner {
    own_vm: VmId,
    convergence: Convergence,
    roster: Arc<Roster>,
}

impl OrderPlanner {
    pub(crate) fn new(own_vm: VmId, convergence: Convergence, roster: Arc<Roster>) -> Self {
        Self {
            own_vm,
            convergence,
            roster,
        }
    }

    fn targets(&self) -> Vec<EngineTarget> {
        let snapshot = self.convergence.snapshot();
        let nodes = self.usable_nodes();
        let services = snapshot.services();
        let targets = services.filter_map(|service| service_target(&snapshot, service));
        let targets = targets.flat_map(|target| target.engine_targets());
        let assigned = targets.filter(|target| self.is_assigned_here(&nodes, &target.engine));
        assigned.collect()
    }

    fn usable_nodes(&self) -> Vec<VmId> {
        let nodes = self.roster.entry_vms().into_iter().map(|vm| vm.id);
        let usable = nodes.filter(|vm| *vm == self.own_vm || self.roster.is_usable(vm));
        usable.collect()
    }

    fn is_assigned_here(&self, nodes: &[VmId], engine: &UpstreamId) -> bool {
        let seed = xxh3_64_with_seed(engine.as_str().as_bytes(), 0);
        let weight = |vm: &&VmId| xxh3_64_with_seed(vm.as_str().as_bytes(), seed);
        nodes.iter().max_by_key(weight) == Some(&self.own_vm)
    }
}

impl PlanSource for OrderPlanner {
    fn plan(&self) -> Option<OrderPlan> {
        let confirmed_at = self.convergence.confirmed_at()?;
        let files = self.convergence.status().files;
        let versions = files.iter().filter_map(|file| file.accepted);
        let versions = versions.map(|version| (version.generation, version.revision));
        Some(OrderPlan {
            fencing: fencing_number(versions),
            confirmed_at,
            targets: self.targets(),
        })
    }
}

fn service_target(snapshot: &Snapshot, service: &Service) -> Option<ServiceTarget> {
    let model = service.model.as_ref()?;
    let rollouts = snapshot.rollouts().iter();
    let rollout = rollouts
        .filter(|rollout| rollout.service == service.name)
        .map(|Rollout { to, percent, .. }| (model_target(to), *percent))
        .next_back();
    Some(ServiceTarget {
        service: service.name.clone(),
        engines: service.upstreams.iter().map(|u| u.id.clone()).collect(),
        model: model_target(model),
        rollout,
        role: EngineRole::Both,
    })
}

fn model_target(model: &ModelVersion) -> ModelTarget {
    ModelTarget {
        name: model.name.clone(),
        version: model.version,
        adapters: model.adapters.clone(),
    }
}

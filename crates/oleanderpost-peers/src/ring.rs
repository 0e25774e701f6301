//! [`Ring`]: selects the peers that a node exchanges with. [`rank`] selects the watchers of the platform.

use oleanderpost_types::{DataCentre, Vm, VmId, VmList, VmRole};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of peers that a node exchanges with; as many nodes exchange with it.
pub(crate) const DEGREE: i32 = 4;

/// The entry VMs of a list in hash order, which is the same on all nodes and mixes the data centres.
#[derive(Debug)]
pub(crate) struct Ring {
    nodes: Vec<(u64, VmId)>,
}

impl Ring {
    pub(crate) fn new(list: &VmList) -> Self {
        let entry = list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
        let mut nodes: Vec<_> = entry.map(|vm| (hash(&vm.id), vm.id.clone())).collect();
        nodes.sort();
        Self { nodes }
    }

    /// Peers at exponentially growing distances after `own`, so that every node is a few hops away.
    pub(crate) fn successors(&self, own: &VmId) -> Vec<VmId> {
        self.peers_at_distances(own, |index, distance, len| (index + distance) % len)
    }

    /// Peers that have `own` as a successor.
    pub(crate) fn predecessors(&self, own: &VmId) -> Vec<VmId> {
        self.peers_at_distances(own, |index, distance, len| (index + len - distance) % len)
    }

    /// Successors and predecessors.
    pub(crate) fn neighbours(&self, own: &VmId) -> Vec<VmId> {
        let mut neighbours = self.successors(own);
        for vm in self.predecessors(own) {
            if !neighbours.contains(&vm) {
                neighbours.push(vm);
            }
        }
        neighbours
    }

    fn peers_at_distances(
        &self,
        own: &VmId,
        target_index: impl Fn(usize, usize, usize) -> usize,
    ) -> Vec<VmId> {
        let len = self.nodes.len();
        let entry = (hash(own), own.clone());
        let index = match self.nodes.binary_search(&entry) {
            Ok(index) => index,
            Err(_) if len == 0 => return Vec::new(),
            Err(index) => index % len,
        };
        let mut peers = Vec::new();
        for distance in distances(len) {
            let vm = &self.nodes[target_index(index, distance, len)].1;
            if vm != own && !peers.contains(vm) {
                peers.push(vm.clone());
            }
        }
        peers
    }
}

/// Powers of the `DEGREE`-th root of the number of nodes, starting with 1 and made distinct.
fn distances(len: usize) -> Vec<usize> {
    let root = (len as f64).powf(1.0 / f64::from(DEGREE));
    let mut distances: Vec<usize> = Vec::new();
    for power in 0..DEGREE {
        let min = distances.last().map_or(1, |last| last + 1);
        distances.push((root.powi(power).round() as usize).max(min));
    }
    distances.retain(|distance| *distance < len.max(2));
    distances
}

fn hash(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}

/// Rank of `own` among the eligible entry VMs of its data centre by rendezvous hashing; 0 is the first.
pub(crate) fn rank(
    list: &VmList,
    own: &VmId,
    data_centre: &DataCentre,
    salt: u64,
    is_eligible: impl Fn(&Vm) -> bool,
) -> usize {
    let weight = |vm: &VmId| xxh3_64_with_seed(vm.as_str().as_bytes(), salt);
    let own_weight = (weight(own), own);
    let candidates = list
        .vms
        .iter()
        .filter(|vm| vm.role == VmRole::Entry && vm.data_centre == *data_centre);
    let higher = candidates.filter(|vm| vm.id != *own && (weight(&vm.id), &vm.id) > own_weight);
    higher.filter(|vm| is_eligible(vm)).count()
}

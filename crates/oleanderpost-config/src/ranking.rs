//! [`Ranking`].

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use oleanderpost_types::{DataCentre, VmId};

use crate::PeerView;

/// Selects watchers by rendezvous hashing and neighbours on hash rings, so that all nodes with the same view
/// of the fleet agree on them without coordination.
#[derive(Debug)]
pub(crate) struct Ranking<'a> {
    vm: &'a VmId,
    data_centre: &'a DataCentre,
    peers: &'a [PeerView],
}

impl<'a> Ranking<'a> {
    pub(crate) const fn new(
        vm: &'a VmId,
        data_centre: &'a DataCentre,
        peers: &'a [PeerView],
    ) -> Self {
        Self {
            vm,
            data_centre,
            peers,
        }
    }

    /// Eligible nodes of a data centre, in the order in which they become watchers. This node is always
    /// eligible.
    pub(crate) fn watchers(
        &self,
        data_centre: &DataCentre,
        is_eligible: impl Fn(&PeerView) -> bool,
    ) -> Vec<VmId> {
        let in_data_centre = self
            .peers
            .iter()
            .filter(|peer| peer.data_centre == *data_centre);
        let mut vms: Vec<&VmId> = in_data_centre
            .filter(|peer| is_eligible(peer))
            .map(|peer| &peer.vm)
            .collect();
        if self.data_centre == data_centre {
            vms.push(self.vm);
        }
        vms.sort_by_cached_key(|vm| (xxh3_64(vm.as_str().as_bytes()), vm.as_str().to_owned()));
        vms.into_iter().cloned().collect()
    }

    /// The eligible peers to which this node pushes changes: its successor on each of `rings` hash rings,
    /// which order the nodes differently. Each node thus has as many predecessors as successors, and a single
    /// ring already connects all nodes.
    pub(crate) fn neighbours(
        &self,
        rings: usize,
        is_eligible: impl Fn(&PeerView) -> bool,
    ) -> Vec<VmId> {
        let mut vms: Vec<&VmId> = Vec::new();
        for ring in 0..rings {
            let position = |vm: &VmId| xxh3_64_with_seed(vm.as_str().as_bytes(), ring as u64 + 1);
            let own_position = position(self.vm);
            let eligible = self.peers.iter().filter(|peer| is_eligible(peer));
            let successor =
                eligible.min_by_key(|peer| position(&peer.vm).wrapping_sub(own_position));
            vms.extend(successor.map(|peer| &peer.vm));
        }
        vms.sort();
        vms.dedup();
        vms.into_iter().cloned().collect()
    }

    /// All data centres, without duplicates.
    pub(crate) fn data_centres(&self) -> Vec<DataCentre> {
        let others = self.peers.iter().map(|peer| &peer.data_centre);
        let mut all: Vec<&DataCentre> = others.chain([self.data_centre]).collect();
        all.sort();
        all.dedup();
        all.into_iter().cloned().collect()
    }
}

//! [`Ranking`].

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use oleanderpost_types::{DataCentre, VmId};

use crate::PeerView;

/// Rendezvous hashing over the nodes that one node sees.
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

    /// Nodes of a data centre that pass, the first to watch first; this node always passes.
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

    /// The peers that this node pushes changes to, out of those that pass: its successor on each of `rings` rings, in
    /// which all nodes stand in an order of their own. Each node so has as many predecessors as
    /// successors, and one ring alone reaches everybody.
    pub(crate) fn neighbours(
        &self,
        rings: usize,
        is_eligible: impl Fn(&PeerView) -> bool,
    ) -> Vec<VmId> {
        let mut vms: Vec<&VmId> = Vec::new();
        for ring in 0..rings {
            let position = |vm: &VmId| xxh3_64_with_seed(vm.as_str().as_bytes(), ring as u64 + 1);
            let own = position(self.vm);
            let eligible = self.peers.iter().filter(|peer| is_eligible(peer));
            let next = eligible.min_by_key(|peer| position(&peer.vm).wrapping_sub(own));
            vms.extend(next.map(|peer| &peer.vm));
        }
        vms.sort();
        vms.dedup();
        vms.into_iter().cloned().collect()
    }

    /// The data centres, each once.
    pub(crate) fn data_centres(&self) -> Vec<DataCentre> {
        let others = self.peers.iter().map(|peer| &peer.data_centre);
        let mut all: Vec<&DataCentre> = others.chain([self.data_centre]).collect();
        all.sort();
        all.dedup();
        all.into_iter().cloned().collect()
    }
}

//! Selection of the witnesses of a key.

use std::collections::BTreeMap;

use oleanderpost_types::{DataCentre, RequestKey, VmId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node that can be a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Node {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentre,
}

/// Rank of a VM for a key by rendezvous hashing; greater ranks come first.
fn rank(key: RequestKey, vm: &VmId) -> u64 {
    let (high, low) = key.uuid().as_u64_pair();
    xxh3_64_with_seed(vm.as_str().as_bytes(), high ^ low.rotate_left(1))
}

/// Up to `count` witnesses of `key`: the highest-ranked node of each data centre, then the others by rank.
pub(crate) fn witnesses<'a>(key: RequestKey, nodes: &'a [Node], count: usize) -> Vec<&'a VmId> {
    let mut best: BTreeMap<&DataCentre, (u64, &'a VmId)> = BTreeMap::new();
    for node in nodes {
        let entry = (rank(key, &node.vm), &node.vm);
        let best_entry = best.entry(&node.data_centre).or_insert(entry);
        *best_entry = entry.max(*best_entry);
    }
    let mut selected: Vec<_> = best.into_values().collect();
    selected.sort_unstable_by(|a, b| b.cmp(a));
    let missing = count.saturating_sub(selected.len());
    if missing > 0 {
        let mut rest: Vec<_> = nodes
            .iter()
            .map(|node| (rank(key, &node.vm), &node.vm))
            .collect();
        rest.retain(|entry| !selected.contains(entry));
        rest.sort_unstable_by(|a, b| b.cmp(a));
        selected.extend(rest.into_iter().take(missing));
    }
    selected.into_iter().take(count).map(|(_, vm)| vm).collect()
}

//! Claims on two sides of a partitioned fleet that have different VM lists and share one node.

mod fleet;

use std::time::Duration;

use oleanderpost_claims::Limits;
use oleanderpost_types::RequestKey;

use crate::fleet::{Fleet, deadline_in_5_s, key_at, vm_name};

const NODES: usize = 7;
/// Side of the partition that receives no new lists.
const OLD_SIDE: [usize; 3] = [0, 1, 2];
/// Side of the partition that receives the list without `REMOVED`.
const NEW_SIDE: [usize; 3] = [3, 4, 5];
/// Node that both sides can count towards a majority.
const SHARED_NODE: usize = 6;
/// Node of the old side that is removed from the list but still runs.
const REMOVED: usize = 1;

fn cut_between(fleet: &Fleet, one: &[usize], other: &[usize]) {
    for a in one {
        for b in other {
            fleet.network.cut(&vm_name(*a), &vm_name(*b));
            fleet.network.cut(&vm_name(*b), &vm_name(*a));
        }
    }
}

async fn granted(fleet: &Fleet, number: usize, keys: &[RequestKey]) -> Vec<bool> {
    let mut granted = Vec::new();
    for key in keys {
        granted.push(
            fleet
                .node(number)
                .claim(*key, deadline_in_5_s())
                .await
                .is_ok(),
        );
    }
    granted
}

fn assert_never_granted_on_both_sides(old: &[bool], new: &[bool]) {
    assert!(
        old.iter().any(|granted| *granted),
        "the old side claimed nothing"
    );
    assert!(
        new.iter().any(|granted| *granted),
        "the new side claimed nothing"
    );
    let both = old
        .iter()
        .zip(new)
        .filter(|(old, new)| **old && **new)
        .count();
    assert_eq!(both, 0, "keys that both sides claimed");
}

#[tokio::test(start_paused = true)]
async fn node_restarted_with_an_older_list_counts_for_one_side_only() {
    let mut fleet = Fleet::with_nodes(NODES, Limits::default()).await;
    let before: Vec<_> = (0..100).map(|random| fleet.key_now(random)).collect();
    fleet.advance(Duration::from_secs(20)).await;
    let old_list = fleet.platform.lists.len() - 1;
    cut_between(&fleet, &OLD_SIDE, &[3, 4, 5, SHARED_NODE]);
    OLD_SIDE
        .iter()
        .for_each(|number| fleet.set_list_frozen(*number, true, false));
    fleet.platform.remove(REMOVED);
    fleet.advance(Duration::from_secs(30)).await;
    let keys: Vec<_> = (0..100).map(|random| fleet.key_now(random)).collect();
    let new = granted(&fleet, NEW_SIDE[0], &keys).await;
    fleet.network.heal();
    cut_between(&fleet, &NEW_SIDE, &[0, 1, 2, SHARED_NODE]);
    fleet.boot_with_list(SHARED_NODE, 0, old_list, true);
    fleet.advance(Duration::from_secs(8)).await;
    let mut old = granted(&fleet, OLD_SIDE[0], &keys).await;
    // Keys from before the partition show that the old side can still claim; the new side does not claim
    // them.
    old.extend(granted(&fleet, OLD_SIDE[0], &before).await);
    assert_never_granted_on_both_sides(&old, &new);
}

#[tokio::test(start_paused = true)]
async fn clock_differences_within_the_bound_allow_no_double_claim() {
    let mut fleet = Fleet::with_nodes(NODES, Limits::default()).await;
    fleet.platform.lag = Duration::ZERO;
    OLD_SIDE.iter().for_each(|number| fleet.boot(*number, 450));
    fleet.advance(Duration::from_millis(500)).await;
    NEW_SIDE.iter().for_each(|number| fleet.boot(*number, -450));
    cut_between(&fleet, &OLD_SIDE, &NEW_SIDE);
    OLD_SIDE
        .iter()
        .for_each(|number| fleet.set_list_frozen(*number, true, false));
    // The old side asks the shared node to confirm at 53.0 s, the new side at 53.5 s; the list changes in
    // between.
    fleet.advance(Duration::from_millis(32_550)).await;
    fleet.platform.remove(REMOVED);
    fleet.advance(Duration::from_secs(16)).await;
    let issued = (60_000..68_000).step_by(50);
    let keys: Vec<_> = issued
        .flat_map(|at_ms| (0..20).map(move |random| key_at(at_ms, random)))
        .collect();
    let old = granted(&fleet, OLD_SIDE[0], &keys).await;
    let new = granted(&fleet, NEW_SIDE[0], &keys).await;
    assert_never_granted_on_both_sides(&old, &new);
}

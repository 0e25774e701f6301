//! Two requests with one key while the VM list changes. Each test covers one way in which both could run.

mod fleet;

use std::time::Duration;

use oleanderpost_claims::{Claim, ClaimEnd, Limits, Refusal};
use oleanderpost_types::{RequestKey, VmId};
use tokio::time::Instant;

use crate::fleet::{Fleet, deadline_in_5_s, key_at, vm_name};

/// Number of nodes in the fleets.
const NODES: usize = 7;
/// VM that is added and, in some tests, removed again.
const ADDED_VM: usize = 7;
/// VM that claims the keys; it is in none of the witness sets used.
const CLAIMANT: usize = 0;

fn number_of(vm: &VmId) -> usize {
    vm.as_str().trim_start_matches("entry-").parse().unwrap()
}

/// Witnesses of a key according to the claimant's VM list; `None` if the claimant is one of them.
async fn witnesses(fleet: &Fleet, key: RequestKey) -> Option<Vec<usize>> {
    let claimant = vm_name(CLAIMANT);
    (0..=ADDED_VM).for_each(|number| fleet.network.cut(&claimant, &vm_name(number)));
    fleet.network.take_asked();
    fleet
        .network
        .set_delay_and_loss(Duration::from_millis(10), 0.0);
    let deadline = Instant::now() + Duration::from_millis(20);
    assert!(fleet.node(CLAIMANT).claim(key, deadline).await.is_err());
    let mut asked: Vec<_> = fleet.network.take_asked().iter().map(number_of).collect();
    fleet.network.heal();
    fleet.network.set_delay_and_loss(Duration::ZERO, 0.0);
    asked.sort_unstable();
    (asked.len() == 3).then_some(asked)
}

/// Claims a key at the claimant while it can't reach one witness.
async fn claim_without_witness(
    fleet: &Fleet,
    key: RequestKey,
    unreachable: usize,
) -> Result<Claim, Refusal> {
    fleet.network.cut(&vm_name(CLAIMANT), &vm_name(unreachable));
    let result = fleet.node(CLAIMANT).claim(key, deadline_in_5_s()).await;
    fleet.network.heal();
    result
}

#[tokio::test(start_paused = true)]
async fn newly_responsible_witness_abstains() {
    let mut tried = 0;
    for random in 0..12 {
        let mut fleet = Fleet::with_nodes(NODES, Limits::default()).await;
        let key = fleet.key_now(random);
        let Some(set) = witnesses(&fleet, key).await else {
            continue;
        };
        let claim = claim_without_witness(&fleet, key, set[2]).await.unwrap();
        claim.close(ClaimEnd::Dispatched).await;
        fleet.kill(set[0]);
        fleet.platform.remove(set[0]);
        fleet.advance(Duration::from_secs(30)).await;
        let Some(later) = witnesses(&fleet, key).await else {
            continue;
        };
        assert_ne!(set, later);
        let second = claim_without_witness(&fleet, key, set[1]).await;
        assert!(
            second.is_err(),
            "second request ran, witnesses {set:?} then {later:?}"
        );
        tried += 1;
    }
    assert!(tried > 0);
}

/// Time for which the added VM is listed before the key is issued.
const ADDED_VM_LISTED_FOR: Duration = Duration::from_secs(40);

/// Keys whose witness sets with and without the added VM differ in exactly one witness. Each with its
/// witnesses without the added VM, and the one that the added VM replaces.
async fn keys_affected_by_the_added_vm() -> Vec<(RequestKey, Vec<usize>, usize)> {
    let mut without = Fleet::with_nodes(NODES, Limits::default()).await;
    without.advance(ADDED_VM_LISTED_FOR).await;
    let at_ms = without.elapsed_ms();
    let mut with = Fleet::with_nodes(NODES + 1, Limits::default()).await;
    with.advance(ADDED_VM_LISTED_FOR).await;
    let mut found = Vec::new();
    for random in 0..60 {
        let key = key_at(at_ms, random);
        let (Some(set), Some(set_with_added)) =
            (witnesses(&without, key).await, witnesses(&with, key).await)
        else {
            continue;
        };
        let replaced: Vec<_> = set
            .iter()
            .filter(|number| !set_with_added.contains(number))
            .copied()
            .collect();
        if let [replaced] = replaced[..] {
            found.push((key, set, replaced));
        }
    }
    found
}

#[tokio::test(start_paused = true)]
async fn witness_that_skipped_a_revision_abstains() {
    let keys = keys_affected_by_the_added_vm().await;
    assert!(!keys.is_empty());
    for (key, set, replaced) in keys {
        let mut fleet = Fleet::with_nodes(NODES, Limits::default()).await;
        fleet.set_list_frozen(replaced, true, false);
        fleet.platform.add(ADDED_VM);
        fleet.boot(ADDED_VM, 0);
        fleet.advance(ADDED_VM_LISTED_FOR).await;
        let kept: Vec<_> = set
            .iter()
            .filter(|number| **number != replaced)
            .copied()
            .collect();
        let claim = claim_without_witness(&fleet, key, kept[1]).await.unwrap();
        claim.close(ClaimEnd::Dispatched).await;
        fleet.kill(ADDED_VM);
        fleet.platform.remove(ADDED_VM);
        fleet.set_list_frozen(replaced, false, true);
        fleet.advance(Duration::from_secs(10)).await;
        let second = claim_without_witness(&fleet, key, kept[0]).await;
        assert!(
            second.is_err(),
            "second request ran, witnesses {set:?}, {replaced} replaced"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn minority_that_sees_a_shorter_list_gets_no_majority() {
    let mut fleet = Fleet::with_nodes(NODES, Limits::default()).await;
    fleet.partition(|number| number < 3, NODES);
    for number in 3..NODES {
        fleet.set_list_frozen(number, true, false);
        fleet.platform.remove(number);
    }
    fleet.advance(Duration::from_secs(300)).await;
    let mut granted = 0;
    for random in 0..30 {
        let key = fleet.key_now(random);
        assert!(fleet.node(0).claim(key, deadline_in_5_s()).await.is_err());
        granted += u32::from(fleet.node(6).claim(key, deadline_in_5_s()).await.is_ok());
    }
    assert!(granted > 0);
    // After a restart two processes have only seen the short list; they learn the size of the long one from
    // the third.
    fleet.boot(0, 0);
    fleet.boot(1, 0);
    fleet.advance(Duration::from_secs(30)).await;
    for random in 100..130 {
        let key = fleet.key_now(random);
        assert!(fleet.node(0).claim(key, deadline_in_5_s()).await.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn removed_node_that_still_runs_gives_no_second_majority() {
    let mut fleet = Fleet::with_nodes(NODES, Limits::default()).await;
    let old_list_side = [1, 2, 4, 6];
    fleet.partition(|number| old_list_side.contains(&number), NODES + 1);
    for number in old_list_side {
        fleet.set_list_frozen(number, true, false);
    }
    fleet.platform.remove(6);
    fleet.platform.add(ADDED_VM);
    fleet.boot(ADDED_VM, 0);
    fleet.advance(Duration::from_secs(40)).await;
    let mut granted = [0, 0];
    for random in 0..60 {
        let key = fleet.key_now(random);
        let old = fleet.node(1).claim(key, deadline_in_5_s()).await.is_ok();
        let new = fleet.node(0).claim(key, deadline_in_5_s()).await.is_ok();
        assert!(!old || !new, "both sides claimed {key}");
        granted[0] += u32::from(old);
        granted[1] += u32::from(new);
    }
    assert!(granted[0] > 0, "{granted:?}");
}

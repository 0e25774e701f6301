//! VM list, leaving marks, reachability and watcher takeover, with many rosters under paused time.

mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use oleanderpost_peers::{
    Reachability, Result, RosterBuilder, RosterDigest, RosterMessage, RosterTimings,
    RosterTransport,
};
use oleanderpost_types::{Incarnation, Millis, Revision, VmId, VmState};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use support::fleet::{Fleet, entry, set_state, upstream};
use tokio::time::{Instant, sleep};

const SECOND: Duration = Duration::from_secs(1);

fn fleet(nodes: usize) -> Fleet {
    Fleet::new(nodes, 10, RosterTimings::default())
}

async fn settled_fleet(nodes: usize) -> Fleet {
    let fleet = fleet(nodes);
    fleet.wait_converged(10 * SECOND).await.unwrap();
    sleep(20 * SECOND).await;
    fleet
}

#[tokio::test(start_paused = true)]
async fn few_nodes_read_the_platform_and_all_receive_its_lists() {
    let fleet = settled_fleet(60).await;
    let before = fleet.platform.reads.load(Ordering::Relaxed);
    for n in 0..5 {
        fleet.platform.publish(1, |vms| vms.push(upstream(100 + n)));
        fleet.wait_converged(SECOND).await.unwrap();
        sleep(10 * SECOND).await;
    }
    let reads = fleet.platform.reads.load(Ordering::Relaxed) - before;
    assert!(
        reads <= 12 * (5 + 11),
        "{reads} reads in 50 s, 12 watchers, 5 changes"
    );
    for member in &fleet.members {
        assert_eq!(member.roster.list().vms.len(), 75);
        let counters = member.roster.counters();
        assert!(counters.lists_from_platform + counters.lists_from_peers >= 6);
    }
}

#[tokio::test(start_paused = true)]
async fn a_stale_replica_never_reverts_a_list() {
    let fleet = settled_fleet(7).await;
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    fleet.wait_converged(SECOND).await.unwrap();
    *fleet.platform.stale_by.lock().unwrap() = 1;
    sleep(60 * SECOND).await;
    for member in &fleet.members {
        assert_eq!(member.roster.view().revision, Revision::new(2));
        let applied_lists = member.recorder.0.lock().unwrap();
        assert!(
            applied_lists
                .windows(2)
                .all(|pair| pair[0].revision < pair[1].revision)
        );
    }
    let stale: u64 = fleet
        .members
        .iter()
        .map(|member| member.roster.counters().stale_reads)
        .sum();
    assert!(stale > 0);
}

#[tokio::test(start_paused = true)]
async fn an_answer_of_a_stale_replica_is_no_confirmation() {
    let fleet = settled_fleet(7).await;
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    fleet.wait_converged(SECOND).await.unwrap();
    sleep(20 * SECOND).await;
    *fleet.platform.stale_by.lock().unwrap() = 1;
    sleep(6 * SECOND).await;
    let stale_since = Instant::now();
    sleep(60 * SECOND).await;
    for member in &fleet.members {
        assert!(member.roster.view().as_of.unwrap() <= stale_since);
    }
}

#[tokio::test(start_paused = true)]
async fn a_skipped_revision_is_reported_and_a_received_one_is_not() {
    let fleet = settled_fleet(7).await;
    let (vm, roster) = (entry(3).id, fleet.roster(0));
    let listed = roster.listed_since(&vm).unwrap();
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    fleet.wait_converged(SECOND).await.unwrap();
    assert!(!roster.view().skipped);
    assert_eq!(roster.listed_since(&vm), Some(listed));
    let before = Instant::now();
    fleet.platform.publish(2, |vms| vms.push(upstream(101)));
    fleet.wait_converged(SECOND).await.unwrap();
    assert!(roster.view().skipped && roster.view().unbroken_since >= before);
    assert!(roster.listed_since(&vm).unwrap() >= before);
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_node_receives_every_revision_in_order() {
    let fleet = settled_fleet(7).await;
    *fleet.platform.down.lock().unwrap() = true;
    fleet.partition(|number| number == 2);
    sleep(6 * SECOND).await;
    for n in 0..3 {
        *fleet.platform.down.lock().unwrap() = false;
        fleet.platform.publish(1, |vms| vms.push(upstream(100 + n)));
        let newest = fleet.platform.newest().revision;
        let others = || {
            fleet
                .members
                .iter()
                .filter(|member| member.vm != entry(2).id)
        };
        while !others().all(|member| member.roster.view().revision == newest) {
            sleep(Duration::from_millis(10)).await;
        }
        *fleet.platform.down.lock().unwrap() = true;
    }
    let revision_before = fleet.roster(2).view().revision;
    fleet.heal();
    fleet.wait_converged(30 * SECOND).await.unwrap();
    let applied_lists = fleet.member(2).recorder.0.lock().unwrap();
    let revisions: Vec<_> = applied_lists
        .iter()
        .map(|list| list.revision.get())
        .collect();
    assert_eq!(
        revisions,
        [1, 2, 3, 4],
        "was at {revision_before} before the heal"
    );
    assert!(!fleet.roster(2).view().skipped);
}

#[tokio::test(start_paused = true)]
async fn leaving_is_final_for_an_incarnation() {
    let fleet = settled_fleet(7).await;
    let vm = upstream(3).id;
    fleet
        .platform
        .publish(1, |vms| set_state(vms, &vm, VmState::Leaving));
    fleet.wait_converged(SECOND).await.unwrap();
    fleet
        .platform
        .publish(1, |vms| set_state(vms, &vm, VmState::Live));
    fleet.wait_converged(SECOND).await.unwrap();
    sleep(60 * SECOND).await;
    assert!(
        fleet
            .members
            .iter()
            .all(|member| member.roster.is_leaving(&vm))
    );
    fleet.platform.publish(1, |vms| {
        let known = vms.iter_mut().find(|known| known.id == vm).unwrap();
        known.incarnation = Incarnation::new(2);
    });
    fleet.wait_converged(SECOND).await.unwrap();
    assert!(
        fleet
            .members
            .iter()
            .all(|member| !member.roster.is_leaving(&vm))
    );
}

#[tokio::test(start_paused = true)]
async fn a_mark_reaches_all_nodes_within_seconds_with_the_platform_down() {
    let fleet = settled_fleet(60).await;
    *fleet.platform.down.lock().unwrap() = true;
    sleep(120 * SECOND).await;
    let vm = upstream(3).id;
    fleet.roster(17).mark_leaving(&vm).unwrap();
    let took = fleet
        .wait_until_all(3 * SECOND, |roster| roster.is_leaving(&vm))
        .await;
    assert!(took.is_some());
    assert!(fleet.roster(17).mark_leaving(&upstream(999).id).is_err());
}

#[tokio::test(start_paused = true)]
async fn marks_of_both_sides_of_a_partition_are_merged_after_it() {
    let fleet = settled_fleet(20).await;
    fleet.partition(|number| number >= 10);
    fleet.roster(1).mark_leaving(&upstream(1).id).unwrap();
    fleet.roster(11).mark_leaving(&upstream(2).id).unwrap();
    sleep(120 * SECOND).await;
    assert!(!fleet.roster(11).is_leaving(&upstream(1).id));
    fleet.heal();
    let both = |roster: &oleanderpost_peers::Roster| {
        roster.is_leaving(&upstream(1).id) && roster.is_leaving(&upstream(2).id)
    };
    assert!(fleet.wait_until_all(60 * SECOND, both).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_node_that_leaves_is_unusable_and_its_next_process_is_not() {
    let mut fleet = settled_fleet(20).await;
    let vm = entry(4).id;
    fleet.roster(4).leave();
    let marked = fleet
        .wait_until_all(3 * SECOND, |roster| roster.is_leaving(&vm))
        .await;
    assert!(marked.is_some());
    assert!(!fleet.roster(0).is_usable(&vm));
    sleep(120 * SECOND).await;
    fleet.start(4);
    let back = fleet
        .wait_until_all(10 * SECOND, |roster| !roster.is_leaving(&vm))
        .await;
    assert!(back.is_some());
    assert!(
        fleet
            .wait_until_all(60 * SECOND, |roster| roster.is_usable(&vm))
            .await
            .is_some()
    );
}

#[tokio::test(start_paused = true)]
async fn other_nodes_watch_when_all_watchers_are_dead() {
    let mut fleet = settled_fleet(60).await;
    let watchers: Vec<_> = (0..60)
        .filter(|number| fleet.roster(*number).is_watcher())
        .collect();
    assert_eq!(watchers.len(), 12, "two in each of six data centres");
    for number in watchers {
        fleet.stop(number);
    }
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    let limit = RosterTimings::default().takeover_after + 10 * SECOND;
    assert!(fleet.wait_converged(limit).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn the_read_rate_stays_bounded_while_the_platform_fails() {
    let fleet = settled_fleet(60).await;
    *fleet.platform.down.lock().unwrap() = true;
    sleep(300 * SECOND).await;
    let before = fleet.platform.reads.load(Ordering::Relaxed);
    sleep(100 * SECOND).await;
    let reads = fleet.platform.reads.load(Ordering::Relaxed) - before;
    assert!(
        reads < 450,
        "{reads} reads in 100 s, 36 nodes at 10 s each make 360"
    );
    *fleet.platform.down.lock().unwrap() = false;
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    assert!(fleet.wait_converged(20 * SECOND).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_node_started_without_the_platform_gets_the_list_from_a_seed() {
    let mut fleet = settled_fleet(7).await;
    *fleet.platform.down.lock().unwrap() = true;
    fleet.stop(5);
    sleep(60 * SECOND).await;
    fleet.start(5);
    assert!(fleet.wait_converged(20 * SECOND).await.is_some());
    assert_eq!(fleet.roster(5).list(), fleet.roster(0).list());
}

#[tokio::test(start_paused = true)]
async fn a_dead_node_becomes_unreachable_to_all_and_its_return_is_detected() {
    let mut fleet = settled_fleet(60).await;
    let vm = entry(9).id;
    fleet.stop(9);
    let unreachable = |roster: &oleanderpost_peers::Roster| {
        matches!(roster.reachability(&vm), Reachability::Unreachable { .. })
    };
    assert!(
        fleet
            .wait_until_all(20 * SECOND, unreachable)
            .await
            .is_some()
    );
    fleet.start(9);
    assert!(
        fleet
            .wait_until_all(60 * SECOND, |roster| roster.is_usable(&vm))
            .await
            .is_some()
    );
}

/// Blocks the platform for all nodes that currently watch it.
fn block_watchers(fleet: &Fleet) {
    let watchers = fleet
        .members
        .iter()
        .filter(|member| member.roster.is_watcher());
    let watchers = watchers.map(|member| member.vm.clone());
    fleet.platform.blocked.lock().unwrap().extend(watchers);
}

#[tokio::test(start_paused = true)]
async fn other_nodes_watch_when_the_watchers_cannot_reach_the_platform() {
    let fleet = settled_fleet(60).await;
    block_watchers(&fleet);
    sleep(10 * SECOND).await;
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    let limit = RosterTimings::default().takeover_after + 20 * SECOND;
    assert!(fleet.wait_converged(limit).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn reselection_of_watchers_finds_the_nodes_that_reach_the_platform() {
    let fleet = settled_fleet(60).await;
    for _ in 0..70 {
        block_watchers(&fleet);
        sleep(SECOND).await;
    }
    assert_eq!(
        fleet.platform.blocked.lock().unwrap().len(),
        36,
        "six in each data centre"
    );
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    let limit = 2 * RosterTimings::default().reselect_interval;
    assert!(fleet.wait_converged(limit).await.is_some());
}

/// A transport that answers every request with the same message.
struct FixedAnswer(RosterMessage);

#[async_trait::async_trait]
impl RosterTransport for FixedAnswer {
    async fn request(&self, _: &VmId, _: RosterMessage, _: Duration) -> Result<RosterMessage> {
        Ok(self.0.clone())
    }

    fn send(&self, _: &VmId, _: RosterMessage) {}

    fn reachability(&self, _: &VmId) -> Reachability {
        Reachability::Reachable
    }
}

#[tokio::test(start_paused = true)]
async fn a_peer_with_an_older_list_confirms_nothing() {
    let fleet = fleet(3);
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    let vm = entry(4);
    let rng = ChaCha8Rng::seed_from_u64(4);
    let source = fleet.platform.clone();
    let roster =
        RosterBuilder::new(vm.id, Incarnation::new(4), vm.data_centre, source, rng).build();
    let digest = RosterDigest {
        revision: Revision::new(1),
        age: Some(Millis::new(0)),
        marks: 0,
    };
    let marks = Vec::new();
    roster.start(Arc::new(FixedAnswer(RosterMessage::State {
        digest,
        marks,
    })));
    sleep(SECOND).await;
    assert_eq!(roster.view().revision, Revision::new(2));
    *fleet.platform.down.lock().unwrap() = true;
    sleep(10 * SECOND).await;
    let last = Instant::now();
    sleep(60 * SECOND).await;
    assert!(roster.counters().exchanges > 10);
    assert!(roster.view().as_of.unwrap() <= last);
}

#[tokio::test(start_paused = true)]
async fn an_unlisted_node_gets_the_list_from_a_seed() {
    let mut fleet = settled_fleet(7).await;
    *fleet.platform.down.lock().unwrap() = true;
    fleet.start(30);
    assert!(fleet.wait_converged(20 * SECOND).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn unreachable_nodes_are_retried_without_contact_messages() {
    let fleet = settled_fleet(20).await;
    fleet.partition(|number| number >= 10);
    sleep(60 * SECOND).await;
    *fleet.network.deliver_contacts.lock().unwrap() = false;
    fleet.heal();
    let nodes = fleet.running_vms();
    let usable = |roster: &oleanderpost_peers::Roster| {
        let unreachable = |vm| matches!(roster.reachability(vm), Reachability::Unreachable { .. });
        !nodes.iter().any(unreachable)
    };
    assert!(!usable(fleet.roster(0)));
    assert!(fleet.wait_until_all(600 * SECOND, usable).await.is_some());
}

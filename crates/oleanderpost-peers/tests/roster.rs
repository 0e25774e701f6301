//! The VM list, leaving marks and takeover of the platform watch, on many rosters under paused time.

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

async fn settled(nodes: usize) -> Fleet {
    let fleet = fleet(nodes);
    fleet.converge(10 * SECOND).await.unwrap();
    sleep(20 * SECOND).await;
    fleet
}

#[tokio::test(start_paused = true)]
async fn few_nodes_read_the_platform_and_all_learn_its_lists() {
    let fleet = settled(60).await;
    let before = fleet.platform.reads.load(Ordering::Relaxed);
    for n in 0..5 {
        fleet.platform.publish(1, |vms| vms.push(upstream(100 + n)));
        fleet.converge(SECOND).await.unwrap();
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
    let fleet = settled(7).await;
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    fleet.converge(SECOND).await.unwrap();
    *fleet.platform.stale.lock().unwrap() = 1;
    sleep(60 * SECOND).await;
    for member in &fleet.members {
        assert_eq!(member.roster.view().revision, Revision::new(2));
        let seen = member.seen.0.lock().unwrap();
        assert!(
            seen.windows(2)
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
    let fleet = settled(7).await;
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    fleet.converge(SECOND).await.unwrap();
    sleep(20 * SECOND).await;
    *fleet.platform.stale.lock().unwrap() = 1;
    sleep(6 * SECOND).await;
    let stale_since = Instant::now();
    sleep(60 * SECOND).await;
    for member in &fleet.members {
        assert!(member.roster.view().as_of.unwrap() <= stale_since);
    }
}

#[tokio::test(start_paused = true)]
async fn a_skipped_revision_is_told_and_a_seen_one_is_not() {
    let fleet = settled(7).await;
    let (vm, roster) = (entry(3).id, fleet.roster(0));
    let listed = roster.listed_since(&vm).unwrap();
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    fleet.converge(SECOND).await.unwrap();
    assert!(!roster.view().skipped);
    assert_eq!(roster.listed_since(&vm), Some(listed));
    let before = Instant::now();
    fleet.platform.publish(2, |vms| vms.push(upstream(101)));
    fleet.converge(SECOND).await.unwrap();
    assert!(roster.view().skipped && roster.view().unbroken_since >= before);
    assert!(roster.listed_since(&vm).unwrap() >= before);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_was_cut_off_gets_every_revision_in_order() {
    let fleet = settled(7).await;
    *fleet.platform.down.lock().unwrap() = true;
    fleet.part(|number| number == 2);
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
    let unaware = fleet.roster(2).view().revision;
    fleet.heal();
    fleet.converge(30 * SECOND).await.unwrap();
    let seen = fleet.member(2).seen.0.lock().unwrap();
    let revisions: Vec<_> = seen.iter().map(|list| list.revision.get()).collect();
    assert_eq!(revisions, [1, 2, 3, 4], "was at {unaware} before the heal");
    assert!(!fleet.roster(2).view().skipped);
}

#[tokio::test(start_paused = true)]
async fn leaving_is_final_for_an_incarnation() {
    let fleet = settled(7).await;
    let vm = upstream(3).id;
    fleet
        .platform
        .publish(1, |vms| set_state(vms, &vm, VmState::Leaving));
    fleet.converge(SECOND).await.unwrap();
    fleet
        .platform
        .publish(1, |vms| set_state(vms, &vm, VmState::Live));
    fleet.converge(SECOND).await.unwrap();
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
    fleet.converge(SECOND).await.unwrap();
    assert!(
        fleet
            .members
            .iter()
            .all(|member| !member.roster.is_leaving(&vm))
    );
}

#[tokio::test(start_paused = true)]
async fn a_mark_travels_to_all_within_seconds_with_the_platform_down() {
    let fleet = settled(60).await;
    *fleet.platform.down.lock().unwrap() = true;
    sleep(120 * SECOND).await;
    let vm = upstream(3).id;
    fleet.roster(17).mark_leaving(&vm).unwrap();
    let took = fleet.all(3 * SECOND, |roster| roster.is_leaving(&vm)).await;
    assert!(took.is_some());
    assert!(fleet.roster(17).mark_leaving(&upstream(999).id).is_err());
}

#[tokio::test(start_paused = true)]
async fn marks_of_both_sides_of_a_partition_meet_after_it() {
    let fleet = settled(20).await;
    fleet.part(|number| number >= 10);
    fleet.roster(1).mark_leaving(&upstream(1).id).unwrap();
    fleet.roster(11).mark_leaving(&upstream(2).id).unwrap();
    sleep(120 * SECOND).await;
    assert!(!fleet.roster(11).is_leaving(&upstream(1).id));
    fleet.heal();
    let both = |roster: &oleanderpost_peers::Roster| {
        roster.is_leaving(&upstream(1).id) && roster.is_leaving(&upstream(2).id)
    };
    assert!(fleet.all(60 * SECOND, both).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_node_that_leaves_is_unusable_and_its_next_process_is_not() {
    let mut fleet = settled(20).await;
    let vm = entry(4).id;
    fleet.roster(4).leave();
    let told = fleet.all(3 * SECOND, |roster| roster.is_leaving(&vm)).await;
    assert!(told.is_some());
    assert!(!fleet.roster(0).is_usable(&vm));
    sleep(120 * SECOND).await;
    fleet.start(4);
    let back = fleet
        .all(10 * SECOND, |roster| !roster.is_leaving(&vm))
        .await;
    assert!(back.is_some());
    assert!(
        fleet
            .all(60 * SECOND, |roster| roster.is_usable(&vm))
            .await
            .is_some()
    );
}

#[tokio::test(start_paused = true)]
async fn others_watch_when_all_watchers_are_dead() {
    let mut fleet = settled(60).await;
    let watchers: Vec<_> = (0..60)
        .filter(|number| fleet.roster(*number).is_watcher())
        .collect();
    assert_eq!(watchers.len(), 12, "two in each of six data centres");
    for number in watchers {
        fleet.stop(number);
    }
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    let limit = RosterTimings::default().takeover + 10 * SECOND;
    assert!(fleet.converge(limit).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn reads_stay_few_while_the_platform_fails() {
    let fleet = settled(60).await;
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
    assert!(fleet.converge(20 * SECOND).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_start_without_the_platform_takes_the_list_of_a_seed() {
    let mut fleet = settled(7).await;
    *fleet.platform.down.lock().unwrap() = true;
    fleet.stop(5);
    sleep(60 * SECOND).await;
    fleet.start(5);
    assert!(fleet.converge(20 * SECOND).await.is_some());
    assert_eq!(fleet.roster(5).list(), fleet.roster(0).list());
}

#[tokio::test(start_paused = true)]
async fn a_dead_node_becomes_unreachable_to_all_and_its_return_is_noticed() {
    let mut fleet = settled(60).await;
    let vm = entry(9).id;
    fleet.stop(9);
    let unreachable = |roster: &oleanderpost_peers::Roster| {
        matches!(roster.reachability(&vm), Reachability::Unreachable { .. })
    };
    assert!(fleet.all(20 * SECOND, unreachable).await.is_some());
    fleet.start(9);
    assert!(
        fleet
            .all(60 * SECOND, |roster| roster.is_usable(&vm))
            .await
            .is_some()
    );
}

/// Cuts all nodes that watch now off from the platform.
fn block_watchers(fleet: &Fleet) {
    let watchers = fleet
        .members
        .iter()
        .filter(|member| member.roster.is_watcher());
    let watchers = watchers.map(|member| member.vm.clone());
    fleet.platform.blocked.lock().unwrap().extend(watchers);
}

#[tokio::test(start_paused = true)]
async fn others_watch_when_the_watchers_do_not_reach_the_platform() {
    let fleet = settled(60).await;
    block_watchers(&fleet);
    sleep(10 * SECOND).await;
    fleet.platform.publish(1, |vms| vms.push(upstream(100)));
    let limit = RosterTimings::default().takeover + 20 * SECOND;
    assert!(fleet.converge(limit).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn another_choice_of_watchers_finds_the_few_that_reach_the_platform() {
    let fleet = settled(60).await;
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
    let limit = 2 * RosterTimings::default().reselect;
    assert!(fleet.converge(limit).await.is_some());
}

/// A peer that always answers with one state.
struct Fixed(RosterMessage);

#[async_trait::async_trait]
impl RosterTransport for Fixed {
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
    roster.start(Arc::new(Fixed(RosterMessage::State { digest, marks })));
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
async fn a_node_that_nobody_lists_yet_asks_a_seed() {
    let mut fleet = settled(7).await;
    *fleet.platform.down.lock().unwrap() = true;
    fleet.start(30);
    assert!(fleet.converge(20 * SECOND).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn unreachable_nodes_are_tried_again_also_when_nobody_tells() {
    let fleet = settled(20).await;
    fleet.part(|number| number >= 10);
    sleep(60 * SECOND).await;
    *fleet.net.spread_contacts.lock().unwrap() = false;
    fleet.heal();
    let nodes = fleet.live();
    let usable = |roster: &oleanderpost_peers::Roster| {
        let unreachable = |vm| matches!(roster.reachability(vm), Reachability::Unreachable { .. });
        !nodes.iter().any(unreachable)
    };
    assert!(!usable(fleet.roster(0)));
    assert!(fleet.all(600 * SECOND, usable).await.is_some());
}

//! Engine memory is always freed again, and engines are never overcommitted.

mod support;

use std::time::Duration;

use oleanderpost_admission::Settings;
use oleanderpost_standin::EngineFaults;
use oleanderpost_types::{Tokens, VmId};
use support::{Plan, Served, TestFleet, engine_id, vm};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(300);
/// A stream waits longer than this inside an engine only if the engine is out of memory.
const STEP_MS: u64 = 100;

async fn settled(plan: Plan) -> TestFleet {
    let fleet = TestFleet::new(plan);
    sleep(Duration::from_secs(4)).await;
    fleet
}

/// Index of a node that does not own the only engine.
fn stranger(fleet: &TestFleet) -> usize {
    let owns = |i: &usize| !fleet.node(*i).unwrap().dump().engines.is_empty();
    (0..fleet.plan.nodes)
        .find(|i| !owns(i))
        .expect("one node owns the engine")
}

fn owner(fleet: &TestFleet) -> usize {
    let owns = |i: &usize| !fleet.node(*i).unwrap().dump().engines.is_empty();
    (0..fleet.plan.nodes)
        .find(owns)
        .expect("one node owns the engine")
}

fn one_engine() -> Plan {
    Plan {
        engines: 1,
        ..Plan::default()
    }
}

#[tokio::test(start_paused = true)]
async fn a_dead_entry_nodes_streams_are_cancelled() {
    let mut fleet = settled(one_engine()).await;
    let entry = stranger(&fleet);
    let request = fleet.send(entry, fleet.request(1, 200_000, 1_000_000, LIMIT));
    assert!(!request.is_finished());
    sleep(Duration::from_secs(2)).await;
    let request2 = fleet.send(entry, fleet.request(2, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.held() >= 300_000);
    fleet.kill(entry);
    request.abort();
    // The engine itself drops an unread stream only after 30 s; the owner must cancel it earlier.
    std::mem::forget(request2);
    sleep(Duration::from_secs(25)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_entry_nodes_streams_are_cancelled() {
    let mut fleet = settled(one_engine()).await;
    let entry = stranger(&fleet);
    let _request = fleet.send(entry, fleet.request(1, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    fleet.kill(entry);
    fleet.start(entry);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_lost_cancel_is_made_good() {
    let fleet = settled(one_engine()).await;
    let entry = stranger(&fleet);
    let engine = fleet.world.engine(&engine_id(0));
    let request = fleet.send(entry, fleet.request(1, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    engine.set_faults(EngineFaults {
        lose_cancels: true,
        ..EngineFaults::default()
    });
    request.abort();
    sleep(Duration::from_secs(3)).await;
    assert!(fleet.held() > 0);
    engine.set_faults(EngineFaults::default());
    sleep(Duration::from_secs(8)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn memory_counts_until_the_engine_confirms() {
    let fleet = settled(one_engine()).await;
    let (entry, old) = (stranger(&fleet), owner(&fleet));
    let request = fleet.send(entry, fleet.request(1, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    fleet.world.unprobed.lock().unwrap().insert(engine_id(0));
    request.abort();
    sleep(Duration::from_secs(3)).await;
    let held = || fleet.node(old).unwrap().dump().engines[0].held.get();
    assert_eq!(held(), 300_000);
    fleet.world.unprobed.lock().unwrap().clear();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(held(), 0);
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_new_owner_counts_what_the_engine_holds() {
    let mut fleet = settled(one_engine()).await;
    let (entry, old) = (stranger(&fleet), owner(&fleet));
    let first = fleet.send(entry, fleet.request(1, 300_000, 2_000, LIMIT));
    sleep(Duration::from_secs(3)).await;
    fleet.kill(old);
    sleep(Duration::from_millis(200)).await;
    let second = fleet.send(entry, fleet.request(2, 300_000, 100, LIMIT));
    assert!(matches!(first.await.unwrap(), Served::Whole { .. }));
    assert!(matches!(second.await.unwrap(), Served::Whole { .. }));
    let wait = fleet.longest_wait();
    assert!(wait <= STEP_MS, "over-committed: {wait} ms in the engine");
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn owner_and_entry_node_may_die_together() {
    let mut fleet = settled(one_engine()).await;
    let (entry, old) = (stranger(&fleet), owner(&fleet));
    let first = fleet.send(entry, fleet.request(1, 300_000, 100_000, LIMIT));
    sleep(Duration::from_secs(3)).await;
    fleet.kill(old);
    fleet.kill(entry);
    first.abort();
    sleep(Duration::from_millis(200)).await;
    let left = (0..3).find(|i| ![entry, old].contains(i)).unwrap();
    let second = fleet.send(left, fleet.request(2, 300_000, 100, LIMIT));
    assert!(matches!(second.await.unwrap(), Served::Whole { .. }));
    let wait = fleet.longest_wait();
    assert!(wait <= STEP_MS, "over-committed: {wait} ms in the engine");
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_wakes_late_takes_over_anew() {
    let mut fleet = settled(one_engine()).await;
    let (entry, old) = (stranger(&fleet), owner(&fleet));
    fleet.pause(old);
    let first = fleet.send(entry, fleet.request(1, 300_000, 2_000, LIMIT));
    sleep(Duration::from_secs(15)).await;
    assert!(fleet.held() > 0);
    fleet.resume(old);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.node(old).unwrap().dump().counts.pauses, 1);
    let second = fleet.send(entry, fleet.request(2, 300_000, 100, LIMIT));
    assert!(matches!(first.await.unwrap(), Served::Whole { .. }));
    assert!(matches!(second.await.unwrap(), Served::Whole { .. }));
    let wait = fleet.longest_wait();
    assert!(wait <= STEP_MS, "over-committed: {wait} ms in the engine");
}

#[tokio::test(start_paused = true)]
async fn a_partition_between_nodes_kills_no_stream() {
    let fleet = settled(one_engine()).await;
    let (entry, old) = (stranger(&fleet), owner(&fleet));
    let first = fleet.send(entry, fleet.request(1, 300_000, 3_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    let pair: [(VmId, VmId); 2] = [(vm(entry), vm(old)), (vm(old), vm(entry))];
    fleet.world.cut.lock().unwrap().extend(pair);
    assert!(matches!(first.await.unwrap(), Served::Whole { .. }));
}

#[tokio::test(start_paused = true)]
async fn a_dropped_permit_is_given_back() {
    let fleet = settled(one_engine()).await;
    let node = fleet.node(0).unwrap();
    for i in 0..20 {
        let permit = node
            .admit(fleet.request(i, 300_000, 100, LIMIT))
            .await
            .unwrap();
        drop(permit);
        sleep(Duration::from_secs(2)).await;
    }
    let dumps = (0..3).flat_map(|i| fleet.node(i).unwrap().dump().engines);
    let held: Vec<Tokens> = dumps.map(|engine| engine.held).collect();
    assert_eq!(held, [Tokens::new(0)]);
}

#[tokio::test(start_paused = true)]
async fn a_permit_is_not_usable_after_a_pause() {
    let fleet = settled(Plan::default()).await;
    let permit = fleet
        .node(0)
        .unwrap()
        .admit(fleet.request(1, 2_000, 10, LIMIT))
        .await
        .unwrap();
    assert!(permit.is_usable());
    sleep(Settings::default().dispatch_window).await;
    assert!(!permit.is_usable());
}

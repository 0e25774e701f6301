//! Engine memory is always freed again, and engines are never overcommitted.

mod support;

use std::time::Duration;

use oleanderpost_admission::Settings;
use oleanderpost_standin::EngineFaults;
use oleanderpost_types::{Tokens, VmId};
use support::{FleetConfig, Outcome, TestFleet, engine_id, vm};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(300);
/// A stream waits longer than this inside an engine only if the engine is out of memory.
const MAX_WAIT_MS: u64 = 100;

async fn start_fleet(config: FleetConfig) -> TestFleet {
    let fleet = TestFleet::new(config);
    sleep(Duration::from_secs(4)).await;
    fleet
}

/// Index of a node that does not own the only engine.
fn non_owner(fleet: &TestFleet) -> usize {
    let owns = |i: &usize| !fleet.node(*i).unwrap().dump().engines.is_empty();
    (0..fleet.config.nodes)
        .find(|i| !owns(i))
        .expect("one node owns the engine")
}

fn owner(fleet: &TestFleet) -> usize {
    let owns = |i: &usize| !fleet.node(*i).unwrap().dump().engines.is_empty();
    (0..fleet.config.nodes)
        .find(owns)
        .expect("one node owns the engine")
}

fn single_engine() -> FleetConfig {
    FleetConfig {
        engines: 1,
        ..FleetConfig::default()
    }
}

#[tokio::test(start_paused = true)]
async fn streams_of_a_failed_entry_node_are_cancelled() {
    let mut fleet = start_fleet(single_engine()).await;
    let entry = non_owner(&fleet);
    let request = fleet.send(entry, fleet.request(1, 200_000, 1_000_000, LIMIT));
    assert!(!request.is_finished());
    sleep(Duration::from_secs(2)).await;
    let second_request = fleet.send(entry, fleet.request(2, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.held_memory() >= 300_000);
    fleet.kill(entry);
    request.abort();
    // The engine itself drops an unread stream only after 30 s; the owner must cancel it earlier.
    std::mem::forget(second_request);
    sleep(Duration::from_secs(25)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn streams_of_a_restarted_entry_node_are_cancelled() {
    let mut fleet = start_fleet(single_engine()).await;
    let entry = non_owner(&fleet);
    let _request = fleet.send(entry, fleet.request(1, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    fleet.kill(entry);
    fleet.start(entry);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_lost_cancel_is_retried() {
    let fleet = start_fleet(single_engine()).await;
    let entry = non_owner(&fleet);
    let engine = fleet.environment.engine(&engine_id(0));
    let request = fleet.send(entry, fleet.request(1, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    engine.set_faults(EngineFaults {
        lose_cancels: true,
        ..EngineFaults::default()
    });
    request.abort();
    sleep(Duration::from_secs(3)).await;
    assert!(fleet.held_memory() > 0);
    engine.set_faults(EngineFaults::default());
    sleep(Duration::from_secs(8)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn memory_counts_until_the_engine_confirms() {
    let fleet = start_fleet(single_engine()).await;
    let (entry, owner_node) = (non_owner(&fleet), owner(&fleet));
    let request = fleet.send(entry, fleet.request(1, 200_000, 100_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    fleet
        .environment
        .unreachable_engines
        .lock()
        .unwrap()
        .insert(engine_id(0));
    request.abort();
    sleep(Duration::from_secs(3)).await;
    let held = || fleet.node(owner_node).unwrap().dump().engines[0].held.get();
    assert_eq!(held(), 300_000);
    fleet
        .environment
        .unreachable_engines
        .lock()
        .unwrap()
        .clear();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(held(), 0);
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_new_owner_counts_what_the_engine_holds() {
    let mut fleet = start_fleet(single_engine()).await;
    let (entry, owner_node) = (non_owner(&fleet), owner(&fleet));
    let first = fleet.send(entry, fleet.request(1, 300_000, 2_000, LIMIT));
    sleep(Duration::from_secs(3)).await;
    fleet.kill(owner_node);
    sleep(Duration::from_millis(200)).await;
    let second = fleet.send(entry, fleet.request(2, 300_000, 100, LIMIT));
    assert!(matches!(first.await.unwrap(), Outcome::Completed { .. }));
    assert!(matches!(second.await.unwrap(), Outcome::Completed { .. }));
    let wait = fleet.longest_wait_ms();
    assert!(
        wait <= MAX_WAIT_MS,
        "over-committed: a stream waited {wait} ms in the engine"
    );
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn memory_is_freed_when_owner_and_entry_node_fail_together() {
    let mut fleet = start_fleet(single_engine()).await;
    let (entry, owner_node) = (non_owner(&fleet), owner(&fleet));
    let first = fleet.send(entry, fleet.request(1, 300_000, 100_000, LIMIT));
    sleep(Duration::from_secs(3)).await;
    fleet.kill(owner_node);
    fleet.kill(entry);
    first.abort();
    sleep(Duration::from_millis(200)).await;
    let remaining = (0..3).find(|i| ![entry, owner_node].contains(i)).unwrap();
    let second = fleet.send(remaining, fleet.request(2, 300_000, 100, LIMIT));
    assert!(matches!(second.await.unwrap(), Outcome::Completed { .. }));
    let wait = fleet.longest_wait_ms();
    assert!(
        wait <= MAX_WAIT_MS,
        "over-committed: a stream waited {wait} ms in the engine"
    );
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fleet.held_memory(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_resumed_owner_takes_over_its_engine_again() {
    let mut fleet = start_fleet(single_engine()).await;
    let (entry, owner_node) = (non_owner(&fleet), owner(&fleet));
    fleet.pause(owner_node);
    let first = fleet.send(entry, fleet.request(1, 300_000, 2_000, LIMIT));
    sleep(Duration::from_secs(15)).await;
    assert!(fleet.held_memory() > 0);
    fleet.resume(owner_node);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.node(owner_node).unwrap().dump().counts.pauses, 1);
    let second = fleet.send(entry, fleet.request(2, 300_000, 100, LIMIT));
    assert!(matches!(first.await.unwrap(), Outcome::Completed { .. }));
    assert!(matches!(second.await.unwrap(), Outcome::Completed { .. }));
    let wait = fleet.longest_wait_ms();
    assert!(
        wait <= MAX_WAIT_MS,
        "over-committed: a stream waited {wait} ms in the engine"
    );
}

#[tokio::test(start_paused = true)]
async fn a_partition_between_nodes_cancels_no_stream() {
    let fleet = start_fleet(single_engine()).await;
    let (entry, owner_node) = (non_owner(&fleet), owner(&fleet));
    let first = fleet.send(entry, fleet.request(1, 300_000, 3_000, LIMIT));
    sleep(Duration::from_secs(2)).await;
    let pair: [(VmId, VmId); 2] = [(vm(entry), vm(owner_node)), (vm(owner_node), vm(entry))];
    fleet.environment.blocked_links.lock().unwrap().extend(pair);
    assert!(matches!(first.await.unwrap(), Outcome::Completed { .. }));
}

#[tokio::test(start_paused = true)]
async fn a_dropped_permit_frees_its_memory() {
    let fleet = start_fleet(single_engine()).await;
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
async fn a_permit_is_not_usable_after_the_dispatch_window() {
    let fleet = start_fleet(FleetConfig::default()).await;
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

//! Claims of request keys: at most one claim per key, across restarts, partitions and changes of the VM list.

mod fleet;

use std::time::Duration;

use oleanderpost_claims::{ClaimEnd, Limits, Refusal};
use oleanderpost_types::{Outcome, RequestKey};
use tokio::time::Instant;
use uuid::Uuid;

use crate::fleet::{Fleet, deadline_in_5_s, key_at, vm_name};

#[tokio::test(start_paused = true)]
async fn claimed_key_is_refused_at_other_nodes_even_after_close() {
    let fleet = Fleet::with_nodes(7, Limits::default()).await;
    let key = fleet.key_now(1);
    let claim = fleet.node(0).claim(key, deadline_in_5_s()).await.unwrap();
    claim.check_deadline().unwrap();
    assert_eq!(
        fleet
            .node(3)
            .claim(key, deadline_in_5_s())
            .await
            .unwrap_err(),
        Refusal::AlreadyClaimed
    );
    claim.close(ClaimEnd::Dispatched).await;
    let refusal = fleet
        .node(5)
        .claim(key, deadline_in_5_s())
        .await
        .unwrap_err();
    assert_eq!(refusal, Refusal::AlreadyClaimed);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[tokio::test(start_paused = true)]
async fn released_key_can_be_claimed_again() {
    let fleet = Fleet::with_nodes(7, Limits::default()).await;
    let key = fleet.key_now(1);
    let claim = fleet.node(0).claim(key, deadline_in_5_s()).await.unwrap();
    claim.close(ClaimEnd::NotRun).await;
    let second = fleet.node(1).claim(key, deadline_in_5_s()).await.unwrap();
    assert_eq!(
        fleet
            .node(0)
            .claim(key, deadline_in_5_s())
            .await
            .unwrap_err(),
        Refusal::AlreadyClaimed
    );
    second.close(ClaimEnd::Dispatched).await;
}

#[tokio::test(start_paused = true)]
async fn keys_with_invalid_version_or_time_are_refused() {
    let fleet = Fleet::with_nodes(3, Limits::default()).await;
    let node = fleet.node(0);
    let random = RequestKey::from_uuid(Uuid::from_u128(0x1234_5678_1234_4321_8765_4321_8765_4321));
    let refusal = node.claim(random, deadline_in_5_s()).await.unwrap_err();
    assert_eq!(
        (refusal.clone(), refusal.outcome()),
        (Refusal::KeyVersion, Outcome::NotRun)
    );
    let old = node
        .claim(key_at(-600_000, 1), deadline_in_5_s())
        .await
        .unwrap_err();
    assert!(matches!(old, Refusal::KeyTooOld { .. }));
    assert_eq!(old.outcome(), Outcome::Unknown);
    let ahead = node
        .claim(key_at(40_000, 1), deadline_in_5_s())
        .await
        .unwrap_err();
    assert!(matches!(ahead, Refusal::KeyFromFuture { .. }));
    assert_eq!(ahead.outcome(), Outcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn paused_claimant_exceeds_its_deadline() {
    let mut fleet = Fleet::with_nodes(3, Limits::default()).await;
    let claim = fleet
        .node(0)
        .claim(fleet.key_now(1), deadline_in_5_s())
        .await
        .unwrap();
    fleet.advance(Duration::from_secs(5)).await;
    assert_eq!(
        claim.check_deadline().unwrap_err(),
        Refusal::DeadlineExceeded
    );
}

#[tokio::test(start_paused = true)]
async fn claim_is_refused_by_the_deadline() {
    let fleet = Fleet::with_nodes(3, Limits::default()).await;
    fleet
        .network
        .set_delay_and_loss(Duration::from_secs(3_600), 0.0);
    for (limit, expected) in [(5_000, 2_000), (700, 700)]
        .map(|(a, b)| (Duration::from_millis(a), Duration::from_millis(b)))
    {
        let started = Instant::now();
        let key = fleet.key_now(1);
        let refusal = fleet.node(0).claim(key, started + limit).await.unwrap_err();
        assert!(
            matches!(refusal, Refusal::NoMajority { granted: 1, .. }),
            "{refusal}"
        );
        assert_eq!(started.elapsed(), expected);
    }
}

#[tokio::test(start_paused = true)]
async fn claim_is_refused_at_once_when_a_majority_is_impossible() {
    let mut fleet = Fleet::with_nodes(3, Limits::default()).await;
    fleet.boot(1, 0);
    fleet.boot(2, 0);
    fleet.advance(Duration::from_secs(1)).await;
    fleet.network.set_paused(&vm_name(0), true);
    let started = Instant::now();
    let refusal = fleet
        .node(1)
        .claim(fleet.key_now(1), deadline_in_5_s())
        .await
        .unwrap_err();
    assert!(matches!(refusal, Refusal::NoMajority { .. }), "{refusal}");
    assert!(
        started.elapsed() < Duration::from_millis(10),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn restarted_witnesses_abstain() {
    let mut fleet = Fleet::with_nodes(3, Limits::default()).await;
    let key = fleet.key_now(1);
    fleet
        .node(0)
        .claim(key, deadline_in_5_s())
        .await
        .unwrap()
        .close(ClaimEnd::Dispatched)
        .await;
    for number in 0..3 {
        fleet.boot(number, 0);
    }
    for _ in 0..60 {
        fleet.advance(Duration::from_secs(1)).await;
        let refusal = fleet
            .node(2)
            .claim(key, deadline_in_5_s())
            .await
            .unwrap_err();
        assert!(
            matches!(refusal, Refusal::NoMajority { granted: 0, .. }),
            "{refusal}"
        );
    }
    assert!(
        fleet
            .node(0)
            .claim(fleet.key_now(2), deadline_in_5_s())
            .await
            .is_ok()
    );
}

#[tokio::test(start_paused = true)]
async fn minority_partition_refuses_and_majority_partition_grants() {
    let mut fleet = Fleet::with_nodes(7, Limits::default()).await;
    fleet.partition(|number| number < 3, 7);
    fleet.advance(Duration::from_secs(30)).await;
    let mut granted = [0, 0];
    for random in 0..50 {
        let key = fleet.key_now(random);
        granted[0] += usize::from(fleet.node(0).claim(key, deadline_in_5_s()).await.is_ok());
        let other = fleet.key_now(1_000 + random);
        granted[1] += usize::from(fleet.node(6).claim(other, deadline_in_5_s()).await.is_ok());
    }
    assert_eq!(granted[0], 0);
    assert!(granted[1] > 0);
}

#[tokio::test(start_paused = true)]
async fn claims_succeed_after_loss_of_a_data_centre_without_a_new_list() {
    let mut fleet = Fleet::with_nodes(7, Limits::default()).await;
    for number in [0, 3, 6] {
        fleet.kill(number);
    }
    for random in 0..50 {
        let key = fleet.key_now(random);
        fleet
            .node(1)
            .claim(key, deadline_in_5_s())
            .await
            .unwrap()
            .close(ClaimEnd::Dispatched)
            .await;
        fleet.advance(Duration::from_secs(5)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn single_node_can_claim() {
    let fleet = Fleet::with_nodes(1, Limits::default()).await;
    let key = fleet.key_now(1);
    fleet
        .node(0)
        .claim(key, deadline_in_5_s())
        .await
        .unwrap()
        .close(ClaimEnd::Dispatched)
        .await;
    assert!(fleet.node(0).claim(key, deadline_in_5_s()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn full_table_refuses_new_keys_and_keeps_old_ones() {
    let limits = Limits {
        max_keys: 10,
        ..Limits::default()
    };
    let mut fleet = Fleet::with_nodes(1, limits).await;
    let first = fleet.key_now(0);
    for random in 0..10 {
        let key = key_at(20_000, random);
        fleet
            .node(0)
            .claim(key, deadline_in_5_s())
            .await
            .unwrap()
            .close(ClaimEnd::Dispatched)
            .await;
    }
    assert!(
        fleet
            .node(0)
            .claim(fleet.key_now(10), deadline_in_5_s())
            .await
            .is_err()
    );
    assert_eq!(
        fleet
            .node(0)
            .claim(first, deadline_in_5_s())
            .await
            .unwrap_err(),
        Refusal::AlreadyClaimed
    );
    assert_eq!(fleet.node(0).dump().counters.table_full, 1);
    fleet
        .advance(limits.key_window + Duration::from_secs(20))
        .await;
    assert_eq!(fleet.node(0).dump().keys, 0);
    assert!(
        fleet
            .node(0)
            .claim(fleet.key_now(11), deadline_in_5_s())
            .await
            .is_ok()
    );
}

#[tokio::test(start_paused = true)]
async fn node_with_a_list_from_before_the_fleet_grew_abstains() {
    let mut fleet = Fleet::with_nodes(1, Limits::default()).await;
    for number in 1..7 {
        fleet.platform.add(number);
        fleet.boot(number, 0);
    }
    fleet.advance(Duration::from_secs(30)).await;
    fleet.boot_with_list(0, 0, 0, true);
    fleet.advance(Duration::from_secs(30)).await;
    for random in 0..20 {
        let key = fleet.key_now(random);
        assert!(fleet.node(0).claim(key, deadline_in_5_s()).await.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn restarted_single_node_refuses_older_keys() {
    let mut fleet = Fleet::with_nodes(1, Limits::default()).await;
    let key = fleet.key_now(1);
    let claim = fleet.node(0).claim(key, deadline_in_5_s()).await.unwrap();
    claim.close(ClaimEnd::Dispatched).await;
    fleet.boot(0, 0);
    for _ in 0..30 {
        fleet.advance(Duration::from_secs(1)).await;
        assert!(fleet.node(0).claim(key, deadline_in_5_s()).await.is_err());
    }
    assert!(
        fleet
            .node(0)
            .claim(fleet.key_now(2), deadline_in_5_s())
            .await
            .is_ok()
    );
}

#[tokio::test(start_paused = true)]
async fn node_abstains_for_the_lookback_after_its_clock_was_set() {
    let mut fleet = Fleet::with_nodes(1, Limits::default()).await;
    fleet.set_clock_error(0, 5_000);
    let issued_ms = fleet.elapsed_ms() + 5_000;
    assert!(
        fleet
            .node(0)
            .claim(key_at(issued_ms, 1), deadline_in_5_s())
            .await
            .is_err()
    );
    assert_eq!(fleet.node(0).dump().counters.clock_resets, 1);
    fleet.advance(Duration::from_secs(15)).await;
    let issued_ms = fleet.elapsed_ms() + 5_000;
    assert!(
        fleet
            .node(0)
            .claim(key_at(issued_ms, 2), deadline_in_5_s())
            .await
            .is_ok()
    );
    assert_eq!(fleet.node(0).dump().counters.clock_resets, 1);
}

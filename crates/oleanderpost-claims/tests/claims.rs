//! Claims of request keys: one claim a key, over restarts, partitions and changes of the list.

mod fleet;

use std::time::Duration;

use oleanderpost_claims::{ClaimEnd, Limits, Refusal};
use oleanderpost_types::{Outcome, RequestKey};
use tokio::time::Instant;
use uuid::Uuid;

use crate::fleet::{Fleet, key_at, soon, vm_name};

#[tokio::test(start_paused = true)]
async fn second_try_elsewhere_is_refused_also_after_the_end() {
    let fleet = Fleet::with_nodes(7, Limits::default()).await;
    let key = fleet.key_now(1);
    let claim = fleet.node(0).claim(key, soon()).await.unwrap();
    claim.check_deadline().unwrap();
    assert_eq!(
        fleet.node(3).claim(key, soon()).await.unwrap_err(),
        Refusal::AlreadyClaimed
    );
    claim.close(ClaimEnd::Dispatched).await;
    let refusal = fleet.node(5).claim(key, soon()).await.unwrap_err();
    assert_eq!(refusal, Refusal::AlreadyClaimed);
    assert_eq!(refusal.outcome(), Outcome::Unknown);
}

#[tokio::test(start_paused = true)]
async fn key_given_back_may_be_claimed_again() {
    let fleet = Fleet::with_nodes(7, Limits::default()).await;
    let key = fleet.key_now(1);
    let claim = fleet.node(0).claim(key, soon()).await.unwrap();
    claim.close(ClaimEnd::NotRun).await;
    let second = fleet.node(1).claim(key, soon()).await.unwrap();
    assert_eq!(
        fleet.node(0).claim(key, soon()).await.unwrap_err(),
        Refusal::AlreadyClaimed
    );
    second.close(ClaimEnd::Dispatched).await;
}

#[tokio::test(start_paused = true)]
async fn keys_out_of_bounds_are_refused() {
    let fleet = Fleet::with_nodes(3, Limits::default()).await;
    let node = fleet.node(0);
    let random = RequestKey::with_uuid(Uuid::from_u128(0x1234_5678_1234_4321_8765_4321_8765_4321));
    let refusal = node.claim(random, soon()).await.unwrap_err();
    assert_eq!(
        (refusal.clone(), refusal.outcome()),
        (Refusal::KeyVersion, Outcome::NotRun)
    );
    let old = node.claim(key_at(-600_000, 1), soon()).await.unwrap_err();
    assert!(matches!(old, Refusal::KeyTooOld { .. }));
    assert_eq!(old.outcome(), Outcome::Unknown);
    let ahead = node.claim(key_at(40_000, 1), soon()).await.unwrap_err();
    assert!(matches!(ahead, Refusal::KeyFromFuture { .. }));
    assert_eq!(ahead.outcome(), Outcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn paused_claimant_is_late() {
    let mut fleet = Fleet::with_nodes(3, Limits::default()).await;
    let claim = fleet.node(0).claim(fleet.key_now(1), soon()).await.unwrap();
    fleet.pass(Duration::from_secs(5)).await;
    assert_eq!(
        claim.check_deadline().unwrap_err(),
        Refusal::DeadlineExceeded
    );
}

#[tokio::test(start_paused = true)]
async fn refusal_comes_by_the_deadline() {
    let fleet = Fleet::with_nodes(3, Limits::default()).await;
    fleet.network.set_quality(Duration::from_secs(3_600), 0.0);
    for (limit, answered) in [(5_000, 2_000), (700, 700)]
        .map(|(a, b)| (Duration::from_millis(a), Duration::from_millis(b)))
    {
        let begun = Instant::now();
        let key = fleet.key_now(1);
        let refusal = fleet.node(0).claim(key, begun + limit).await.unwrap_err();
        assert!(
            matches!(refusal, Refusal::NoMajority { granted: 1, .. }),
            "{refusal}"
        );
        assert_eq!(begun.elapsed(), answered);
    }
}

#[tokio::test(start_paused = true)]
async fn refusal_comes_at_once_when_no_majority_is_left() {
    let mut fleet = Fleet::with_nodes(3, Limits::default()).await;
    fleet.boot(1, 0);
    fleet.boot(2, 0);
    fleet.pass(Duration::from_secs(1)).await;
    fleet.network.set_paused(&vm_name(0), true);
    let begun = Instant::now();
    let refusal = fleet
        .node(1)
        .claim(fleet.key_now(1), soon())
        .await
        .unwrap_err();
    assert!(matches!(refusal, Refusal::NoMajority { .. }), "{refusal}");
    assert!(
        begun.elapsed() < Duration::from_millis(10),
        "{:?}",
        begun.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn restarted_witnesses_abstain() {
    let mut fleet = Fleet::with_nodes(3, Limits::default()).await;
    let key = fleet.key_now(1);
    fleet
        .node(0)
        .claim(key, soon())
        .await
        .unwrap()
        .close(ClaimEnd::Dispatched)
        .await;
    for number in 0..3 {
        fleet.boot(number, 0);
    }
    for _ in 0..60 {
        fleet.pass(Duration::from_secs(1)).await;
        let refusal = fleet.node(2).claim(key, soon()).await.unwrap_err();
        assert!(
            matches!(refusal, Refusal::NoMajority { granted: 0, .. }),
            "{refusal}"
        );
    }
    assert!(fleet.node(0).claim(fleet.key_now(2), soon()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn minority_side_refuses_and_majority_side_runs() {
    let mut fleet = Fleet::with_nodes(7, Limits::default()).await;
    fleet.split(|number| number < 3, 7);
    fleet.pass(Duration::from_secs(30)).await;
    let mut granted = [0, 0];
    for random in 0..50 {
        let key = fleet.key_now(random);
        granted[0] += usize::from(fleet.node(0).claim(key, soon()).await.is_ok());
        let other = fleet.key_now(1_000 + random);
        granted[1] += usize::from(fleet.node(6).claim(other, soon()).await.is_ok());
    }
    assert_eq!(granted[0], 0);
    assert!(granted[1] > 0);
}

#[tokio::test(start_paused = true)]
async fn loss_of_a_data_centre_is_survived_without_the_platform() {
    let mut fleet = Fleet::with_nodes(7, Limits::default()).await;
    for number in [0, 3, 6] {
        fleet.kill(number);
    }
    for random in 0..50 {
        let key = fleet.key_now(random);
        fleet
            .node(1)
            .claim(key, soon())
            .await
            .unwrap()
            .close(ClaimEnd::Dispatched)
            .await;
        fleet.pass(Duration::from_secs(5)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn lone_node_claims_for_itself() {
    let fleet = Fleet::with_nodes(1, Limits::default()).await;
    let key = fleet.key_now(1);
    fleet
        .node(0)
        .claim(key, soon())
        .await
        .unwrap()
        .close(ClaimEnd::Dispatched)
        .await;
    assert!(fleet.node(0).claim(key, soon()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn full_table_refuses_and_forgets_nothing() {
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
            .claim(key, soon())
            .await
            .unwrap()
            .close(ClaimEnd::Dispatched)
            .await;
    }
    assert!(
        fleet
            .node(0)
            .claim(fleet.key_now(10), soon())
            .await
            .is_err()
    );
    assert_eq!(
        fleet.node(0).claim(first, soon()).await.unwrap_err(),
        Refusal::AlreadyClaimed
    );
    assert_eq!(fleet.node(0).dump().counters.table_full, 1);
    fleet
        .pass(limits.key_window + Duration::from_secs(20))
        .await;
    assert_eq!(fleet.node(0).dump().keys, 0);
    assert!(fleet.node(0).claim(fleet.key_now(11), soon()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn node_on_a_list_from_before_the_fleet_grew_abstains() {
    let mut fleet = Fleet::with_nodes(1, Limits::default()).await;
    for number in 1..7 {
        fleet.platform.add(number);
        fleet.boot(number, 0);
    }
    fleet.pass(Duration::from_secs(30)).await;
    fleet.boot_with_list(0, 0, 0, true);
    fleet.pass(Duration::from_secs(30)).await;
    for random in 0..20 {
        let key = fleet.key_now(random);
        assert!(fleet.node(0).claim(key, soon()).await.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn restarted_lone_node_refuses_older_keys() {
    let mut fleet = Fleet::with_nodes(1, Limits::default()).await;
    let key = fleet.key_now(1);
    let claim = fleet.node(0).claim(key, soon()).await.unwrap();
    claim.close(ClaimEnd::Dispatched).await;
    fleet.boot(0, 0);
    for _ in 0..30 {
        fleet.pass(Duration::from_secs(1)).await;
        assert!(fleet.node(0).claim(key, soon()).await.is_err());
    }
    assert!(fleet.node(0).claim(fleet.key_now(2), soon()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn node_whose_clock_was_set_abstains_for_the_lookback() {
    let mut fleet = Fleet::with_nodes(1, Limits::default()).await;
    fleet.set_clock_error(0, 5_000);
    let issued_ms = fleet.elapsed_ms() + 5_000;
    assert!(
        fleet
            .node(0)
            .claim(key_at(issued_ms, 1), soon())
            .await
            .is_err()
    );
    assert_eq!(fleet.node(0).dump().counters.clock_resets, 1);
    fleet.pass(Duration::from_secs(15)).await;
    let issued_ms = fleet.elapsed_ms() + 5_000;
    assert!(
        fleet
            .node(0)
            .claim(key_at(issued_ms, 2), soon())
            .await
            .is_ok()
    );
    assert_eq!(fleet.node(0).dump().counters.clock_resets, 1);
}

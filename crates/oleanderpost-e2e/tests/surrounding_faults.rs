//! Hops that fall silent, parted nodes, a platform that is down, and engines that die, freeze or leave.
//!
//! Every verdict rests on the requests' own time limits, on the evidence of the stand-ins and on what callers saw.

mod common;

use std::time::Duration;

use common::{
    Fleet, LIMIT, SLACK, Seen, book, bookings, ends, first_booking, nothing_held, runs,
    serves_again, set_faults, start_streams, stream, streams_run,
};
use oleanderpost::types::RequestKey;
use oleanderpost_standin::TcpProxy;
use serde_json::json;
use tokio::time::{Instant, sleep};

const ANY_PORT: &str = "127.0.0.1:0";

#[tokio::test]
async fn a_silent_hop_to_an_engine_ends_no_later_than_the_time_limit() {
    let mut fleet = Fleet::start(2, 1, &[]).await;
    let direct = fleet.engines[0].address;
    let hop = TcpProxy::new(ANY_PORT.parse().unwrap(), direct)
        .await
        .unwrap();
    fleet.engines[0].address = hop.address();
    fleet.publish(2).await;
    fleet.wait_generation(2).await;
    let streams = start_streams(fleet.nodes[0].callers, 2);
    streams_run(&fleet, 2).await;
    hop.silence_connections();
    for seen in ends(streams).await {
        assert!(
            !matches!(seen, Seen::Broken),
            "the caller is told: {seen:?}"
        );
    }
    serves_again(fleet.nodes[0].callers).await;
    serves_again(fleet.nodes[1].callers).await;
    assert!(nothing_held(&fleet, LIMIT + SLACK).await);
}

/// Puts a hop before the links of each node.
async fn hops_between(fleet: &Fleet) -> Vec<TcpProxy> {
    let mut hops = Vec::new();
    for node in &fleet.nodes {
        let hop = TcpProxy::new(ANY_PORT.parse().unwrap(), node.links)
            .await
            .unwrap();
        fleet.put_vm(&node.vm, "entry", "live", hop.address()).await;
        hops.push(hop);
    }
    for node in &fleet.nodes {
        serves_again(node.callers).await;
    }
    hops
}

#[tokio::test]
async fn silent_connections_between_nodes_are_replaced() {
    let fleet = Fleet::start(3, 2, &["--time-scale", "20"]).await;
    let hops = hops_between(&fleet).await;
    first_booking(fleet.nodes[0].callers).await;
    hops.iter().for_each(TcpProxy::silence_connections);
    for node in &fleet.nodes {
        serves_again(node.callers).await;
    }
    let key = RequestKey::new().to_string();
    for node in &fleet.nodes {
        book(node.callers, &key).await;
    }
    assert!(bookings(&fleet, &key).await <= 1);
    first_booking(fleet.nodes[1].callers).await;
}

#[tokio::test]
async fn requests_are_served_while_the_platform_is_down() {
    let fleet = Fleet::start(2, 2, &["--time-scale", "20"]).await;
    set_faults(fleet.platform_address, &json!({ "down": true })).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(8) {
        for node in &fleet.nodes {
            let seen = stream(node.callers, 1_000, 4).await;
            assert!(seen.is_whole(), "{seen:?}");
        }
    }
    set_faults(fleet.platform_address, &json!({ "down": false })).await;
    fleet.publish(2).await;
    fleet.wait_generation(2).await;
}

#[tokio::test]
async fn a_leaving_engine_gets_no_new_work_after_a_few_seconds() {
    let fleet = Fleet::start(2, 2, &["--time-scale", "20"]).await;
    for node in &fleet.nodes {
        serves_again(node.callers).await;
    }
    let leaving = &fleet.engines[0];
    fleet
        .put_vm(&leaving.id, "upstream", "leaving", leaving.address)
        .await;
    sleep(Duration::from_secs(5)).await;
    let before = runs(leaving).await;
    for _ in 0..10 {
        for node in &fleet.nodes {
            let seen = stream(node.callers, 1_000, 4).await;
            assert!(seen.is_whole(), "{seen:?}");
        }
    }
    assert_eq!(runs(leaving).await, before);
}

#[tokio::test]
async fn a_key_runs_at_most_once_while_the_nodes_are_parted() {
    let fleet = Fleet::start(3, 2, &["--time-scale", "20"]).await;
    let hops = hops_between(&fleet).await;
    first_booking(fleet.nodes[0].callers).await;
    for hop in &hops {
        hop.set_refusing(true);
        hop.silence_connections();
    }
    for _ in 0..4 {
        let key = RequestKey::new().to_string();
        let tries = fleet.nodes.iter().map(|node| book(node.callers, &key));
        let (one, two, three) = join3(tries).await;
        let ok = [one, two, three]
            .iter()
            .filter(|end| end.as_deref() == Some("ok"))
            .count();
        let ran = bookings(&fleet, &key).await;
        assert!(ran <= 1 && ok <= ran, "{key} ran {ran} times, {ok} ok");
    }
    for node in &fleet.nodes {
        let seen = stream(node.callers, 1_000, 4).await;
        assert!(
            !matches!(seen, Seen::Broken | Seen::NoConnection),
            "{seen:?}"
        );
    }
    hops.iter().for_each(|hop| hop.set_refusing(false));
    for node in &fleet.nodes {
        serves_again(node.callers).await;
    }
    first_booking(fleet.nodes[2].callers).await;
}

async fn join3<F: Future>(mut tries: impl Iterator<Item = F>) -> (F::Output, F::Output, F::Output) {
    let mut next = || tries.next().expect("three nodes");
    tokio::join!(next(), next(), next())
}

#[tokio::test]
async fn a_killed_engine_breaks_no_promise_and_the_other_serves_on() {
    let mut fleet = Fleet::start(2, 2, &[]).await;
    let mut streams = start_streams(fleet.nodes[0].callers, 4);
    streams.extend(start_streams(fleet.nodes[1].callers, 4));
    streams_run(&fleet, 8).await;
    fleet.engines[0].process.signal("KILL");
    let dead = fleet.engines.remove(0);
    for seen in ends(streams).await {
        assert!(
            !matches!(seen, Seen::Broken),
            "the caller is told: {seen:?}"
        );
        assert!(!seen.is_not_run(), "it had run: {seen:?}");
    }
    drop(dead);
    for node in &fleet.nodes {
        serves_again(node.callers).await;
    }
    assert!(nothing_held(&fleet, LIMIT + SLACK).await);
}

#[tokio::test]
async fn a_frozen_engine_holds_no_caller_beyond_the_time_limit() {
    let fleet = Fleet::start(2, 2, &[]).await;
    let streams = start_streams(fleet.nodes[0].callers, 4);
    streams_run(&fleet, 4).await;
    fleet.engines[0].process.signal("STOP");
    for seen in ends(streams).await {
        assert!(
            !matches!(seen, Seen::Broken),
            "the caller is told: {seen:?}"
        );
        assert!(!seen.is_not_run(), "it had run: {seen:?}");
    }
    for node in &fleet.nodes {
        serves_again(node.callers).await;
    }
    fleet.engines[0].process.signal("CONT");
    assert!(
        nothing_held(&fleet, LIMIT + SLACK).await,
        "also on the engine that woke"
    );
}

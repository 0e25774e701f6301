//! Tests with silent connections, network partitions between nodes, a platform outage, and engines that are
//! killed, frozen or leaving.
//!
//! The assertions use only the time limits of the requests, the evidence of the stand-ins and the results
//! that callers got.

mod common;

use std::time::Duration;

use common::{
    ANSWER_MARGIN, Fleet, StreamResult, TIME_LIMIT, book, booking_count, join_streams, run_count,
    set_faults, start_streams, stream, wait_booking, wait_nothing_held, wait_serving, wait_streams,
};
use oleanderpost::types::RequestKey;
use oleanderpost_standin::TcpProxy;
use serde_json::json;
use tokio::time::{Instant, sleep};

const ANY_PORT: &str = "127.0.0.1:0";

#[tokio::test]
async fn streams_on_silent_engine_connections_end_by_the_time_limit() {
    let mut fleet = Fleet::start(2, 1, &[]).await;
    let engine_address = fleet.engines[0].address;
    let proxy = TcpProxy::new(ANY_PORT.parse().unwrap(), engine_address)
        .await
        .unwrap();
    fleet.engines[0].address = proxy.address();
    fleet.publish(2).await;
    fleet.wait_generation(2).await;
    let streams = start_streams(fleet.nodes[0].callers, 2);
    wait_streams(&fleet, 2).await;
    proxy.silence_connections();
    for result in join_streams(streams).await {
        assert!(
            !matches!(result, StreamResult::Broken),
            "the caller must get an error, not a broken connection: {result:?}"
        );
    }
    wait_serving(fleet.nodes[0].callers).await;
    wait_serving(fleet.nodes[1].callers).await;
    assert!(wait_nothing_held(&fleet, TIME_LIMIT + ANSWER_MARGIN).await);
}

/// Puts a proxy in front of the link listener of each node, so that tests can disturb the links.
async fn start_link_proxies(fleet: &Fleet) -> Vec<TcpProxy> {
    let mut proxies = Vec::new();
    for node in &fleet.nodes {
        let proxy = TcpProxy::new(ANY_PORT.parse().unwrap(), node.links)
            .await
            .unwrap();
        fleet
            .put_vm(&node.vm, "entry", "live", proxy.address())
            .await;
        proxies.push(proxy);
    }
    for node in &fleet.nodes {
        wait_serving(node.callers).await;
    }
    proxies
}

#[tokio::test]
async fn silent_connections_between_nodes_are_replaced() {
    let fleet = Fleet::start(3, 2, &["--time-scale", "20"]).await;
    let proxies = start_link_proxies(&fleet).await;
    wait_booking(fleet.nodes[0].callers).await;
    proxies.iter().for_each(TcpProxy::silence_connections);
    for node in &fleet.nodes {
        wait_serving(node.callers).await;
    }
    let key = RequestKey::new().to_string();
    for node in &fleet.nodes {
        book(node.callers, &key).await;
    }
    assert!(booking_count(&fleet, &key).await <= 1);
    wait_booking(fleet.nodes[1].callers).await;
}

#[tokio::test]
async fn requests_are_served_while_the_platform_is_down() {
    let fleet = Fleet::start(2, 2, &["--time-scale", "20"]).await;
    set_faults(fleet.platform_address, &json!({ "down": true })).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(8) {
        for node in &fleet.nodes {
            let result = stream(node.callers, 1_000, 4).await;
            assert!(result.is_complete(), "{result:?}");
        }
    }
    set_faults(fleet.platform_address, &json!({ "down": false })).await;
    fleet.publish(2).await;
    fleet.wait_generation(2).await;
}

#[tokio::test]
async fn a_leaving_engine_gets_no_new_requests_after_five_seconds() {
    let fleet = Fleet::start(2, 2, &["--time-scale", "20"]).await;
    for node in &fleet.nodes {
        wait_serving(node.callers).await;
    }
    let leaving = &fleet.engines[0];
    fleet
        .put_vm(&leaving.id, "upstream", "leaving", leaving.address)
        .await;
    sleep(Duration::from_secs(5)).await;
    let before = run_count(leaving).await;
    for _ in 0..10 {
        for node in &fleet.nodes {
            let result = stream(node.callers, 1_000, 4).await;
            assert!(result.is_complete(), "{result:?}");
        }
    }
    assert_eq!(run_count(leaving).await, before);
}

#[tokio::test]
async fn a_key_runs_at_most_once_while_the_nodes_are_partitioned() {
    let fleet = Fleet::start(3, 2, &["--time-scale", "20"]).await;
    let proxies = start_link_proxies(&fleet).await;
    wait_booking(fleet.nodes[0].callers).await;
    for proxy in &proxies {
        proxy.set_refusing(true);
        proxy.silence_connections();
    }
    for _ in 0..4 {
        let key = RequestKey::new().to_string();
        let bookings = fleet.nodes.iter().map(|node| book(node.callers, &key));
        let (one, two, three) = join3(bookings).await;
        let ok_count = [one, two, three]
            .iter()
            .filter(|end| end.as_deref() == Some("ok"))
            .count();
        let run_count = booking_count(&fleet, &key).await;
        assert!(
            run_count <= 1 && ok_count <= run_count,
            "{key} ran {run_count} times, {ok_count} ok"
        );
    }
    for node in &fleet.nodes {
        let result = stream(node.callers, 1_000, 4).await;
        assert!(
            !matches!(result, StreamResult::Broken | StreamResult::NoConnection),
            "{result:?}"
        );
    }
    proxies.iter().for_each(|proxy| proxy.set_refusing(false));
    for node in &fleet.nodes {
        wait_serving(node.callers).await;
    }
    wait_booking(fleet.nodes[2].callers).await;
}

async fn join3<F: Future>(
    mut bookings: impl Iterator<Item = F>,
) -> (F::Output, F::Output, F::Output) {
    let mut next = || bookings.next().expect("three nodes");
    tokio::join!(next(), next(), next())
}

#[tokio::test]
async fn after_an_engine_is_killed_each_stream_ends_and_the_other_engine_serves() {
    let mut fleet = Fleet::start(2, 2, &[]).await;
    let mut streams = start_streams(fleet.nodes[0].callers, 4);
    streams.extend(start_streams(fleet.nodes[1].callers, 4));
    wait_streams(&fleet, 8).await;
    fleet.engines[0].process.signal("KILL");
    let killed = fleet.engines.remove(0);
    for result in join_streams(streams).await {
        assert!(
            !matches!(result, StreamResult::Broken),
            "the caller must get an error, not a broken connection: {result:?}"
        );
        assert!(
            !result.is_not_run(),
            "a request that ran must not be reported as not run: {result:?}"
        );
    }
    drop(killed);
    for node in &fleet.nodes {
        wait_serving(node.callers).await;
    }
    assert!(wait_nothing_held(&fleet, TIME_LIMIT + ANSWER_MARGIN).await);
}

#[tokio::test]
async fn streams_at_a_frozen_engine_end_by_the_time_limit() {
    let fleet = Fleet::start(2, 2, &[]).await;
    let streams = start_streams(fleet.nodes[0].callers, 4);
    wait_streams(&fleet, 4).await;
    fleet.engines[0].process.signal("STOP");
    for result in join_streams(streams).await {
        assert!(
            !matches!(result, StreamResult::Broken),
            "the caller must get an error, not a broken connection: {result:?}"
        );
        assert!(
            !result.is_not_run(),
            "a request that ran must not be reported as not run: {result:?}"
        );
    }
    for node in &fleet.nodes {
        wait_serving(node.callers).await;
    }
    fleet.engines[0].process.signal("CONT");
    assert!(
        wait_nothing_held(&fleet, TIME_LIMIT + ANSWER_MARGIN).await,
        "the engine must also free its memory after it was resumed"
    );
}

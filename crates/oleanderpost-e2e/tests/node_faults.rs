//! Tests with nodes that are killed, frozen or drained while requests are in progress.
//!
//! The assertions use only the time limits of the requests, the evidence of the stand-ins and the results
//! that callers got.

mod common;

use std::time::Duration;

use common::{
    ANSWER_MARGIN, Fleet, StreamResult, TIME_LIMIT, book, booking_count, join_streams,
    key_run_count, set_faults, start_streams, stream, stream_with_key, wait_booking,
    wait_nothing_held, wait_serving, wait_streams,
};
use oleanderpost::types::RequestKey;
use serde_json::json;
use tokio::time::sleep;

#[tokio::test]
async fn killing_a_node_frees_engine_memory_and_other_nodes_keep_serving() {
    let mut fleet = Fleet::start(3, 2, &[]).await;
    let streams = start_streams(fleet.nodes[0].callers, 4);
    let other_streams = start_streams(fleet.nodes[1].callers, 2);
    wait_streams(&fleet, 4).await;
    fleet.nodes[0].process.signal("KILL");
    fleet.nodes[0].process.wait();
    for result in join_streams(streams).await {
        assert!(
            result.is_complete() || matches!(result, StreamResult::Broken),
            "{result:?}"
        );
    }
    for result in join_streams(other_streams).await {
        assert!(
            result.is_complete(),
            "a stream of another node must complete: {result:?}"
        );
    }
    assert!(
        wait_nothing_held(&fleet, TIME_LIMIT + ANSWER_MARGIN).await,
        "engines must free the memory of the killed node's requests"
    );
    wait_serving(fleet.nodes[1].callers).await;
    wait_serving(fleet.nodes[2].callers).await;
}

#[tokio::test]
async fn while_a_node_is_frozen_the_others_serve_and_no_key_runs_twice() {
    let fleet = Fleet::start(3, 2, &["--time-scale", "5"]).await;
    wait_booking(fleet.nodes[1].callers).await;
    let frozen = start_streams(fleet.nodes[0].callers, 2);
    wait_streams(&fleet, 1).await;
    fleet.nodes[0].process.signal("STOP");
    for _ in 0..3 {
        for node in &fleet.nodes[1..] {
            stream(node.callers, 1_000, 4).await;
        }
    }
    wait_serving(fleet.nodes[1].callers).await;
    wait_serving(fleet.nodes[2].callers).await;
    let keys: Vec<_> = (0..5).map(|_| RequestKey::new().to_string()).collect();
    let mut booked = Vec::new();
    for key in &keys {
        booked.push(book(fleet.nodes[1].callers, key).await);
    }
    fleet.nodes[0].process.signal("CONT");
    for (key, first) in keys.iter().zip(booked) {
        for node in &fleet.nodes {
            let again = book(node.callers, key).await;
            assert!(
                first.as_deref() != Some("ok") || again.as_deref() != Some("ok"),
                "{key} got two ok answers"
            );
        }
        let run_count = booking_count(&fleet, key).await;
        assert!(run_count <= 1, "{key} ran {run_count} times");
        assert!(first.as_deref() != Some("ok") || run_count == 1);
    }
    join_streams(frozen).await;
    wait_serving(fleet.nodes[0].callers).await;
    assert!(wait_nothing_held(&fleet, TIME_LIMIT + ANSWER_MARGIN).await);
}

#[tokio::test]
async fn draining_completes_open_streams_and_loses_no_new_request() {
    let mut fleet = Fleet::start(3, 2, &[]).await;
    let node = fleet.nodes[0].callers;
    let streams = start_streams(node, 3);
    wait_streams(&fleet, 3).await;
    fleet.nodes[0].process.signal("TERM");
    let mut broken = Vec::new();
    loop {
        let key = RequestKey::new().to_string();
        match stream_with_key(node, &key, 1_000, 2).await {
            StreamResult::NoConnection => break,
            StreamResult::Broken => broken.push(key),
            result => assert!(result.is_complete() || result.is_not_run(), "{result:?}"),
        }
    }
    for result in join_streams(streams).await {
        assert!(result.is_complete(), "{result:?}");
    }
    assert!(
        fleet.nodes[0].process.wait(),
        "the drained node must exit with success"
    );
    for key in broken {
        assert_eq!(
            key_run_count(&fleet, &key).await,
            0,
            "{key} ran although its connection was broken"
        );
    }
    wait_serving(fleet.nodes[1].callers).await;
    assert!(wait_nothing_held(&fleet, TIME_LIMIT + ANSWER_MARGIN).await);
}

#[tokio::test]
async fn several_nodes_drain_at_the_same_time() {
    let mut fleet = Fleet::start(4, 2, &[]).await;
    let mut streams = Vec::new();
    for node in &fleet.nodes {
        streams.extend(start_streams(node.callers, 2));
    }
    wait_streams(&fleet, 8).await;
    for node in &fleet.nodes[..3] {
        node.process.signal("TERM");
    }
    for result in join_streams(streams).await {
        assert!(result.is_complete(), "{result:?}");
    }
    for node in &mut fleet.nodes[..3] {
        assert!(node.process.wait(), "{} must exit with success", node.vm);
    }
    wait_serving(fleet.nodes[3].callers).await;
    assert!(wait_nothing_held(&fleet, TIME_LIMIT + ANSWER_MARGIN).await);
}

#[tokio::test]
async fn a_key_runs_at_most_once_when_its_node_is_killed_and_the_caller_retries_elsewhere() {
    let fleet = Fleet::start(3, 1, &[]).await;
    wait_booking(fleet.nodes[0].callers).await;
    set_faults(fleet.plain.control, &json!({ "slow_ms": 1_000 })).await;
    let keys: Vec<_> = (0..4).map(|_| RequestKey::new().to_string()).collect();
    let node = fleet.nodes[0].callers;
    let first: Vec<_> = keys
        .iter()
        .cloned()
        .map(|key| tokio::spawn(async move { book(node, &key).await }))
        .collect();
    sleep(Duration::from_millis(300)).await;
    fleet.nodes[0].process.signal("KILL");
    for (key, first) in keys.iter().zip(first) {
        let first = first.await.unwrap();
        for node in &fleet.nodes[1..] {
            let again = book(node.callers, key).await;
            assert!(
                first.is_none() || again.as_deref() != Some("ok"),
                "{key}: {first:?}, {again:?}"
            );
        }
        let run_count = booking_count(&fleet, key).await;
        assert!(run_count <= 1, "{key} ran {run_count} times");
    }
    set_faults(fleet.plain.control, &json!({ "slow_ms": 0 })).await;
    wait_booking(fleet.nodes[1].callers).await;
}

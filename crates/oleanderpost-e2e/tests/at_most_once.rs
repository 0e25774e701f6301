//! A request that must not be repeated runs at most once, whichever nodes the caller sends it to.

mod common;

use std::time::Duration;

use common::{Caller, Fleet, send_request};
use hyper::{Method, StatusCode};
use oleanderpost::types::RequestKey;
use serde_json::Value;
use tokio::time::sleep;

/// Sends bookings with new keys until one succeeds, and returns its key. Claims may be refused
/// shortly after the start of the fleet.
async fn book_new_key(caller: Caller) -> String {
    loop {
        let key = RequestKey::new().to_string();
        let headers = [("idempotency-key", key.as_str())];
        let reply = caller.book("/book", &headers, "first").await;
        if reply.status == StatusCode::OK {
            return key;
        }
        assert_ne!(reply.json()["outcome"], "failed", "{reply:?}");
        sleep(Duration::from_millis(200)).await;
    }
}

async fn booking_count(fleet: &Fleet, key: &str) -> usize {
    let control = fleet.plain.control;
    let reply = send_request(control, Method::GET, "/v1/evidence", &[], "").await;
    let evidence = reply.expect("the stand-in must return its evidence").json();
    let runs = evidence["runs"].as_array().cloned().unwrap_or_default();
    runs.iter().filter(|run| run["key"] == key).count()
}

#[tokio::test]
async fn a_key_used_at_another_node_does_not_run_again() {
    let fleet = Fleet::start(3, 1, &[]).await;
    let key = book_new_key(Caller::new(fleet.nodes[0].callers)).await;
    for node in &fleet.nodes {
        let headers = [("idempotency-key", key.as_str())];
        let caller = Caller::new(node.callers);
        let reply = caller.book("/book", &headers, "second").await;
        assert_eq!(reply.status, StatusCode::CONFLICT, "{reply:?}");
        assert_eq!(reply.json()["outcome"], Value::from("unknown"));
    }
    assert_eq!(booking_count(&fleet, &key).await, 1);
}

//! Nodes bring engines to the model version of the accepted configuration, and restore it after a stale
//! order.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Fleet, send_request};
use hyper::{Method, StatusCode};
use oleanderpost::types::{EngineRole, EngineState, FencingNumber, Order};
use tokio::time::sleep;

const JSON_HEADERS: [(&str, &str); 1] = [("content-type", "application/json")];
const POLL_INTERVAL: Duration = Duration::from_millis(100);

async fn engine_state(fleet: &Fleet, engine: usize) -> EngineState {
    let engine = fleet.engines[engine].address;
    let reply = send_request(engine, Method::GET, "/v1/state", &[], "").await;
    serde_json::from_slice(&reply.expect("the engine must answer").body).unwrap()
}

async fn send_order(engine: SocketAddr, body: &str) -> StatusCode {
    let reply = send_request(
        engine,
        Method::POST,
        "/v1/orders",
        &JSON_HEADERS,
        body.to_owned(),
    )
    .await;
    reply.expect("the engine must answer").status
}

async fn wait_version(fleet: &Fleet, version: u64) {
    for engine in 0..fleet.engines.len() {
        loop {
            let state = engine_state(fleet, engine).await;
            if state.version == version && !state.loading {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

#[tokio::test]
async fn a_new_model_version_reaches_each_engine_and_a_stale_order_is_reverted() {
    let mut fleet = Fleet::start(2, 2, &[]).await;
    fleet.model_version = 2;
    fleet.publish(2).await;
    wait_version(&fleet, 2).await;
    let current = engine_state(&fleet, 0).await;

    // An engine that honours fencing rejects an order with an old fencing number.
    let stale_order = Order {
        fencing: FencingNumber::new(0),
        holder: "old-holder".parse().unwrap(),
        model: current.model,
        version: 1,
        adapters: Vec::new(),
        role: EngineRole::Both,
    };
    let body = serde_json::to_string(&stale_order).unwrap();
    let engine = &fleet.engines[0];
    assert_eq!(
        send_order(engine.address, &body).await,
        StatusCode::CONFLICT
    );

    // An engine that ignores fencing accepts the stale order; the nodes then restore the configured version.
    let faults = r#"{"ignore_fencing":true}"#;
    let reply = send_request(
        engine.control,
        Method::PUT,
        "/v1/faults",
        &JSON_HEADERS,
        faults,
    )
    .await;
    assert!(reply.expect("the engine must answer").status.is_success());
    assert_eq!(send_order(engine.address, &body).await, StatusCode::OK);
    wait_version(&fleet, 2).await;
}

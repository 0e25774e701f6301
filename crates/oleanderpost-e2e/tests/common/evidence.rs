//! Queries of the stand-ins' control listeners: requests they ran, memory they hold, and injected faults.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{Fleet, Upstream, send_request};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Evidence of an upstream as JSON: its runs and its holdings.
pub(crate) async fn evidence(control: SocketAddr) -> Value {
    let reply = send_request(control, Method::GET, "/v1/evidence", &[], "").await;
    reply.expect("the stand-in must return its evidence").json()
}

/// Sets the injected faults of an upstream or of the platform.
pub(crate) async fn set_faults(control: SocketAddr, faults: &Value) {
    let reply = send_request(control, Method::PUT, "/v1/faults", &[], faults.to_string()).await;
    assert!(reply.expect("the stand-in must answer").status.is_success());
}

/// Number of runs of an engine, finished ones included.
pub(crate) async fn run_count(upstream: &Upstream) -> usize {
    let evidence = evidence(upstream.control).await;
    evidence["runs"].as_array().map_or(0, Vec::len)
}

/// Number of runs of one key at all engines.
pub(crate) async fn key_run_count(fleet: &Fleet, key: &str) -> usize {
    let mut count = 0;
    for engine in &fleet.engines {
        let evidence = evidence(engine.control).await;
        let runs = evidence["runs"].as_array().cloned().unwrap_or_default();
        count += runs.iter().filter(|run| run["key"] == key).count();
    }
    count
}

/// Number of streams that wait or run at an engine now.
pub(crate) async fn stream_count(upstream: &Upstream) -> usize {
    let evidence = evidence(upstream.control).await;
    let holdings = evidence["holdings"].as_array().cloned();
    holdings.unwrap_or_default().len()
}

/// Waits until no engine holds memory for a request; returns false when `limit` passes first.
pub(crate) async fn wait_nothing_held(fleet: &Fleet, limit: Duration) -> bool {
    let started = Instant::now();
    loop {
        let mut held = 0;
        for engine in &fleet.engines {
            held += stream_count(engine).await;
        }
        if held == 0 || started.elapsed() > limit {
            return held == 0;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until at least `count` streams wait or run at the engines in total.
pub(crate) async fn wait_streams(fleet: &Fleet, count: usize) {
    loop {
        let mut held = 0;
        for engine in &fleet.engines {
            held += stream_count(engine).await;
        }
        if held >= count {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

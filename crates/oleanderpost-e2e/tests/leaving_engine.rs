//! Once an engine has refused a request because it is leaving, no node sends it further requests.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{Caller, Fleet, send_request};
use hyper::Method;
use oleanderpost::types::{LoadReport, Tokens};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Length of the prompts, in tokens. It is below the shortest prefix for which nodes prefer an engine that
/// has it cached, so that requests go to both engines.
const PROMPT_TOKENS: usize = 100;
/// Pairs of requests to send until one request reaches the engine that refuses.
const MAX_TRIES: usize = 50;
/// Time after which an engine that all nodes have marked as leaving may get no new requests.
const NO_NEW_REQUESTS_AFTER: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LEAVING_REFUSAL: &str =
    r#"{"type":"leaving","status":503,"detail":"leaving","outcome":"not_run"}"#;

/// Starts an engine that refuses each completion because it is leaving; returns its address and the number of
/// completions it got.
async fn leaving_engine() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let completion_count = Arc::new(AtomicUsize::new(0));
    let count = completion_count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, count.clone()));
        }
    });
    (address, completion_count)
}

async fn serve_connection(mut stream: TcpStream, completion_count: Arc<AtomicUsize>) {
    let mut buf = vec![0; 64 * 1024];
    let len = stream.read(&mut buf).await.unwrap_or(0);
    let (status, body) = match &buf[..len] {
        req if req.starts_with(b"POST /v1/completions") => {
            completion_count.fetch_add(1, Ordering::SeqCst);
            ("503 Service Unavailable", LEAVING_REFUSAL.to_owned())
        }
        req if req.starts_with(b"GET /v1/holdings") => ("200 OK", "[]".to_owned()),
        req if req.starts_with(b"GET /v1/load") => ("200 OK", idle_load_report()),
        _ => ("404 Not Found", "{}".to_owned()),
    };
    let answer = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// Load report of an idle engine, which nodes prefer when they place requests.
fn idle_load_report() -> String {
    let report = LoadReport {
        memory: Tokens::new(400_000),
        ..LoadReport::default()
    };
    serde_json::to_string(&report).unwrap()
}

async fn has_leaving_mark(node: SocketAddr, vm: &str) -> bool {
    let reply = send_request(node, Method::GET, "/dump", &[], "").await;
    let dump = reply.expect("the node must answer").json();
    let marks = dump["leaving"].as_array().cloned().unwrap_or_default();
    marks
        .iter()
        .any(|mark| mark["v"] == vm && mark["l"] == true)
}

#[tokio::test]
async fn a_leaving_refusal_is_retried_elsewhere_and_shared_between_nodes() {
    let fleet = Fleet::start(2, 2, &["--time-scale", "20"]).await;
    let (address, completion_count) = leaving_engine().await;
    let mut file = fleet.file(2);
    file["services"][0]["upstreams"][0]["address"] = Value::from(address.to_string());
    let body = file.to_string();
    let published = send_request(
        fleet.platform_address,
        Method::PUT,
        "/v1/config/fleet",
        &[],
        body,
    );
    assert!(
        published
            .await
            .expect("the platform must answer")
            .status
            .is_success()
    );

    let caller = Caller::new(fleet.nodes[0].callers);
    for _ in 0..MAX_TRIES {
        // Two requests at a time, so that each engine gets one of them.
        let (one, other) = tokio::join!(
            caller.stream(PROMPT_TOKENS, 50),
            caller.stream(PROMPT_TOKENS, 50)
        );
        assert!(
            one.expect("the request must be retried at the other engine")
                .complete
        );
        assert!(
            other
                .expect("the request must be retried at the other engine")
                .complete
        );
        if completion_count.load(Ordering::SeqCst) > 0 {
            break;
        }
    }
    assert!(
        completion_count.load(Ordering::SeqCst) > 0,
        "a request must have reached the leaving engine"
    );
    for node in &fleet.nodes {
        while !has_leaving_mark(node.admin, "e1").await {
            sleep(POLL_INTERVAL).await;
        }
    }
    sleep(NO_NEW_REQUESTS_AFTER).await;
    let before = completion_count.load(Ordering::SeqCst);
    for node in &fleet.nodes {
        for _ in 0..10 {
            let answer = Caller::new(node.callers).stream(PROMPT_TOKENS, 2).await;
            assert!(answer.expect("the node must answer").complete);
        }
    }
    assert_eq!(completion_count.load(Ordering::SeqCst), before);
}

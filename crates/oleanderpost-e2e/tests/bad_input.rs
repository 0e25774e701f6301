//! Bad input is refused with the reason, and engines free their memory whatever a caller does.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Caller, Fleet, TOKEN, completion, send_request};
use hyper::{Method, StatusCode};
use oleanderpost::types::Holding;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Above the sum of the requests' time limit in this file and the time an owner needs to free unused memory.
const HOLDINGS_TIMEOUT: Duration = Duration::from_secs(60);

async fn refusal(fleet: &Fleet, headers: &[(&str, &str)], body: &str) -> (u16, String) {
    let caller = Caller::new(fleet.nodes[0].callers);
    let reply = caller.post("/v1/completions", headers, body.to_owned());
    let reply = reply.await;
    assert_eq!(reply.headers["content-type"], "application/problem+json");
    let problem = reply.json();
    assert_eq!(problem["outcome"], "not_run", "{problem}");
    let detail = problem["detail"]
        .as_str()
        .expect("the problem must have a detail")
        .to_owned();
    (reply.status.as_u16(), detail)
}

/// Headers, body, expected status and a text that the detail must contain.
type Case<'a> = (&'a [(&'a str, &'a str)], &'a str, u16, &'a str);

#[tokio::test]
async fn bad_input_is_refused_with_the_reason() {
    let fleet = Fleet::start(1, 1, &[]).await;
    let valid = completion(10, 1, false);
    let cases: [Case<'_>; 10] = [
        (&[], "{", 400, "EOF"),
        (&[], r#"{"model":"drafting"}"#, 400, "prompt"),
        (&[], r#"{"model":"drafting","prompt":7}"#, 400, "Prompt"),
        (&[], r#"{"model":"drafting","prompt":""}"#, 400, "prompt"),
        (
            &[],
            r#"{"model":"drafting","prompt":"a","max_tokens":0}"#,
            400,
            "max_tokens",
        ),
        (&[], r#"{"model":"nowhere","prompt":"a"}"#, 404, "nowhere"),
        (&[], r#"{"model":"booking","prompt":"a"}"#, 404, "booking"),
        (
            &[("x-time-limit-ms", "soon")],
            &valid,
            400,
            "x-time-limit-ms",
        ),
        (&[("x-time-limit-ms", "0")], &valid, 400, "x-time-limit-ms"),
        (
            &[("idempotency-key", "mine")],
            &valid,
            400,
            "idempotency-key",
        ),
    ];
    for (headers, body, status, expected_text) in cases {
        let (actual, detail) = refusal(&fleet, headers, body).await;
        assert_eq!(actual, status, "{body}: {detail}");
        assert!(detail.contains(expected_text), "{body}: {detail}");
    }
}

#[tokio::test]
async fn requests_with_an_unknown_token_or_none_are_refused() {
    let fleet = Fleet::start(1, 1, &[]).await;
    let node = fleet.nodes[0].callers;
    let body = completion(10, 1, false);
    for headers in [&[][..], &[("authorization", "Bearer wrong")]] {
        let reply =
            send_request(node, Method::POST, "/v1/completions", headers, body.clone()).await;
        let reply = reply.expect("the node must answer");
        assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
        assert_eq!(reply.json()["outcome"], "not_run");
    }
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let fleet = Fleet::start(1, 1, &[]).await;
    let prompt = "a".repeat(17 * 1024 * 1024);
    let body = json!({"model": "drafting", "prompt": prompt}).to_string();
    let (status, detail) = refusal(&fleet, &[], &body).await;
    assert_eq!(status, 413, "{detail}");
}

#[tokio::test]
async fn too_many_headers_are_refused() {
    let fleet = Fleet::start(1, 1, &[]).await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.unwrap();
    let mut head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\n".to_owned();
    for i in 0..5_000 {
        head.push_str(&format!("x-flood-{i}: {}\r\n", "y".repeat(100)));
    }
    head.push_str("\r\n");
    // The node may close the connection before everything is written.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.contains(" 200 "), "{answer}");
    let caller = Caller::new(fleet.nodes[0].callers);
    assert!(caller.stream(10, 1).await.is_ok_and(|a| a.complete));
}

#[tokio::test]
async fn a_caller_disconnect_frees_the_engine_memory() {
    let fleet = Fleet::start(1, 1, &[]).await;
    for prompt in [1_000, 50_000] {
        let mut stream = open_stream(fleet.nodes[0].callers, prompt, 1_000).await;
        wait_holdings(&fleet, |held| held > 0).await;
        if prompt == 1_000 {
            let mut buf = [0; 64];
            assert!(stream.read(&mut buf).await.unwrap() > 0);
        }
        drop(stream);
        wait_holdings(&fleet, |held| held == 0).await;
    }
}

#[tokio::test]
async fn a_caller_that_does_not_read_is_cut_off_at_its_time_limit() {
    let fleet = Fleet::start(1, 1, &["--time-scale", "1000"]).await;
    let stream = open_stream(fleet.nodes[0].callers, 1_000, 300_000).await;
    wait_holdings(&fleet, |held| held > 0).await;
    wait_holdings(&fleet, |held| held == 0).await;
    drop(stream);
}

/// Requests a long streamed answer on a new connection and returns the connection.
async fn open_stream(node: SocketAddr, prompt: usize, max_tokens: u32) -> TcpStream {
    let body = completion(prompt, max_tokens, true);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\n\
         x-time-limit-ms: 30000\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(node).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    stream
}

async fn wait_holdings(fleet: &Fleet, accept: fn(usize) -> bool) {
    let engine = fleet.engines[0].address;
    let wait = async {
        loop {
            let reply = send_request(engine, Method::GET, "/v1/holdings", &[], "").await;
            let body = reply.expect("the engine must answer").body;
            let held: Vec<Holding> = serde_json::from_slice(&body).unwrap();
            if accept(held.len()) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(HOLDINGS_TIMEOUT, wait)
        .await
        .expect("the holdings must change before the timeout");
}

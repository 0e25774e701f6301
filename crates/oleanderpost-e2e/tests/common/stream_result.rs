//! [`StreamResult`] and requests that state a time limit and an idempotency key.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use oleanderpost::types::RequestKey;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{Answer, Fleet, Reply, TOKEN, completion, evidence, send_request};

/// Time limit that the stream requests state.
pub(crate) const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Time after a request's time limit within which the answer must reach the caller. It is large because the
/// machine may be busy.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_secs(10);
/// Tokens of an answer that is long enough to be in progress when a test injects its fault.
const LONG_ANSWER_TOKENS: u32 = 150;
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a stream request at the caller.
#[derive(Debug)]
pub(crate) enum StreamResult {
    /// A streamed answer, possibly incomplete.
    Answer(Answer),
    /// An answer with a status other than 200.
    Refused(Reply),
    /// The connection broke before the end of the answer.
    Broken,
    /// The node accepted no connection.
    NoConnection,
}

impl StreamResult {
    /// Whether the complete answer came.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self, Self::Answer(answer) if answer.complete)
    }

    /// Whether the answer states that the request did not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(reply) if reply.json()["outcome"] == "not_run")
    }
}

/// Streams a completion with an idempotency key; panics when it has not ended [`ANSWER_MARGIN`] after its
/// time limit.
pub(crate) async fn stream_with_key(
    node: SocketAddr,
    key: &str,
    prompt: usize,
    tokens: u32,
) -> StreamResult {
    if TcpStream::connect(node).await.is_err() {
        return StreamResult::NoConnection;
    }
    let body = completion(prompt, tokens, true);
    let limit = TIME_LIMIT.as_millis().to_string();
    let token = format!("Bearer {TOKEN}");
    let headers = [
        ("authorization", token.as_str()),
        ("x-time-limit-ms", &limit),
        ("idempotency-key", key),
    ];
    let reply = send_request(node, Method::POST, "/v1/completions", &headers, body);
    let reply = timeout(TIME_LIMIT + ANSWER_MARGIN, reply).await;
    match reply.expect("each request must end within its time limit") {
        None => StreamResult::Broken,
        Some(reply) if reply.status == StatusCode::OK => StreamResult::Answer(Answer::read(&reply)),
        Some(reply) => StreamResult::Refused(reply),
    }
}

/// Streams a completion with a new idempotency key.
pub(crate) async fn stream(node: SocketAddr, prompt: usize, tokens: u32) -> StreamResult {
    stream_with_key(node, &RequestKey::new().to_string(), prompt, tokens).await
}

/// Starts `count` streams with long answers.
pub(crate) fn start_streams(node: SocketAddr, count: usize) -> Vec<JoinHandle<StreamResult>> {
    let streams = (0..count).map(|_| tokio::spawn(stream(node, 1_000, LONG_ANSWER_TOKENS)));
    streams.collect()
}

/// Waits for the streams to end and returns their results.
pub(crate) async fn join_streams(streams: Vec<JoinHandle<StreamResult>>) -> Vec<StreamResult> {
    let mut results = Vec::new();
    for stream in streams {
        results.push(stream.await.expect("the caller must not panic"));
    }
    results
}

/// Repeats a short stream until one answer is complete; each attempt must end by its time limit.
pub(crate) async fn wait_serving(node: SocketAddr) {
    while !stream(node, 1_000, 4).await.is_complete() {
        sleep(RETRY_INTERVAL).await;
    }
}

/// Posts to the booking service with an idempotency key. Returns `ok` for status 200, otherwise the problem's
/// outcome, and `None` when the connection broke.
pub(crate) async fn book(node: SocketAddr, key: &str) -> Option<String> {
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str()), ("idempotency-key", key)];
    let path = "/v1/services/booking/book";
    let reply = send_request(node, Method::POST, path, &headers, "one");
    let reply = timeout(TIME_LIMIT + ANSWER_MARGIN, reply).await;
    let reply = reply.expect("each request must end within its time limit")?;
    if reply.status == StatusCode::OK {
        return Some("ok".to_owned());
    }
    reply.json()["outcome"].as_str().map(str::to_owned)
}

/// Number of runs of a key at the booking service.
pub(crate) async fn booking_count(fleet: &Fleet, key: &str) -> usize {
    let evidence = evidence(fleet.plain.control).await;
    let runs = evidence["runs"].as_array().cloned().unwrap_or_default();
    runs.iter().filter(|run| run["key"] == key).count()
}

/// Sends bookings with new keys until one succeeds, that is until the nodes can claim keys.
pub(crate) async fn wait_booking(node: SocketAddr) {
    while book(node, &RequestKey::new().to_string()).await.as_deref() != Some("ok") {
        sleep(RETRY_INTERVAL).await;
    }
}

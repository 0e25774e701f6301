//! Tests of the engine, the plain service and the TCP proxy over HTTP.

#[path = "common/client.rs"]
mod client;

use std::net::SocketAddr;

use http_body_util::BodyExt;
use hyper::{StatusCode, body::Incoming};

use oleanderpost_standin::{
    EngineEvidence, EngineServer, EngineSettings, PlainEvidence, PlainServer, StepModel, TcpProxy,
};
use oleanderpost_types::{CompletionReply, Holding, Problem, StreamStatus};

use client::Client;

const KEY: &str = "01890000-0000-7000-8000-0000000000aa";
const TOKEN: &str = "event: token\ndata: ";

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn start_engine(base_us: f64) -> (EngineServer, Client) {
    let settings = EngineSettings {
        step: StepModel {
            base_us,
            ..StepModel::default()
        },
        order_token: Some("secret".to_owned()),
        ..EngineSettings::default()
    };
    let server = EngineServer::new(settings, any_port(), any_port())
        .await
        .unwrap();
    let client = Client::new(server.address());
    (server, client)
}

fn completion_body(answer: u32, stream: bool) -> String {
    format!(
        r#"{{"model": "base", "prompt": "some words", "max_tokens": {answer}, "stream": {stream}}}"#
    )
}

async fn open_stream(client: &Client, answer: u32) -> Incoming {
    let headers = [("x-request-key", KEY), ("x-holder", "entry-1")];
    let body = completion_body(answer, true);
    let res = client
        .send("POST", "/v1/completions", &headers, &body)
        .await
        .unwrap();
    assert_eq!(res.status(), StatusCode::OK);
    assert_eq!(res.headers()["content-type"], "text/event-stream");
    res.into_body()
}

async fn read_text(body: Incoming) -> String {
    String::from_utf8(body.collect().await.unwrap().to_bytes().into()).unwrap()
}

#[tokio::test]
async fn stream_ends_with_its_token_count() {
    let (server, client) = start_engine(100.0).await;
    let events = read_text(open_stream(&client, 3).await).await;
    let end = "event: end\ndata: {\"tokens\":3,\"finish_reason\":\"length\"}\n\n";
    assert!(events.starts_with(TOKEN), "{events}");
    assert!(events.ends_with(end), "{events}");
    let path = format!("/v1/streams/{KEY}/events?offset=2");
    let (_, rest) = client.call("GET", &path, "").await;
    assert!(events.ends_with(&rest), "{rest}");
    let (status, body) = client
        .call("POST", "/v1/completions", &completion_body(4, false))
        .await;
    assert_eq!(status, StatusCode::OK);
    let reply: CompletionReply = serde_json::from_str(&body).unwrap();
    assert_eq!(
        (reply.tokens, reply.text.split_whitespace().count()),
        (4, 4)
    );
    server.close().await;
}

#[tokio::test]
async fn dropped_connection_keeps_its_stream_until_cancelled() {
    let (server, client) = start_engine(5_000.0).await;
    let mut events = open_stream(&client, 100_000).await;
    events.frame().await.unwrap().unwrap();
    drop(events);
    let holdings: Vec<Holding> = client.get("/v1/holdings").await;
    assert_eq!(holdings[0].key.to_string(), KEY);
    assert_eq!(holdings[0].holder.as_ref().unwrap().as_str(), "entry-1");
    let (_, status) = client
        .call("DELETE", &format!("/v1/streams/{KEY}?attempt=0"), "")
        .await;
    assert_eq!(
        serde_json::from_str::<StreamStatus>(&status).unwrap(),
        StreamStatus::Ended
    );
    let evidence: EngineEvidence = client.get("/v1/evidence").await;
    assert_eq!(evidence.held.get(), 0);
    server.close().await;
}

#[tokio::test]
async fn silent_connection_stays_open_while_new_ones_work() {
    let (server, client) = start_engine(1_000.0).await;
    let mut events = open_stream(&client, 2_000).await;
    events.frame().await.unwrap().unwrap();
    let control = Client::new(server.control_address());
    control.put("/v1/faults", r#"{"silence_open": true}"#).await;
    let new_client = Client::new(server.address());
    let path = format!("/v1/streams/{KEY}");
    let silent = async {
        // Data already in flight may still arrive; nothing follows it.
        while let Some(frame) = events.frame().await {
            frame.unwrap();
        }
    };
    let finished =
        async { while !matches!(new_client.get(&path).await, StreamStatus::Finished { .. }) {} };
    tokio::select! {
        () = silent => panic!("the silent connection ended"),
        () = finished => {}
    }
    server.close().await;
}

#[tokio::test]
async fn dead_engine_closes_connections_and_still_serves_evidence() {
    let (server, client) = start_engine(5_000.0).await;
    let mut events = open_stream(&client, 100_000).await;
    events.frame().await.unwrap().unwrap();
    let control = Client::new(server.control_address());
    control.put("/v1/faults", r#"{"dead": true}"#).await;
    assert!(events.collect().await.is_err());
    assert!(client.send("GET", "/v1/load", &[], "").await.is_err());
    let evidence: EngineEvidence = control.get("/v1/evidence").await;
    assert_eq!(evidence.runs.len(), 1);
    control.put("/v1/faults", "{}").await;
    let status: StreamStatus = client.get(&format!("/v1/streams/{KEY}")).await;
    assert_eq!(status, StreamStatus::Absent);
    server.close().await;
}

#[tokio::test]
async fn orders_require_the_bearer_token() {
    let (server, client) = start_engine(100.0).await;
    let order =
        r#"{"fencing": 1, "holder": "entry-1", "model": "base", "version": 1, "role": "both"}"#;
    let (status, _) = client.call("POST", "/v1/orders", order).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let headers = [("authorization", "Bearer secret")];
    let res = client
        .send("POST", "/v1/orders", &headers, order)
        .await
        .unwrap();
    assert_eq!(res.status(), StatusCode::OK);
    server.close().await;
}

#[tokio::test]
async fn refusal_is_a_problem_with_outcome_not_run() {
    let (server, client) = start_engine(100.0).await;
    let body = r#"{"model": "other", "prompt": "some words"}"#;
    let res = client
        .send("POST", "/v1/completions", &[], body)
        .await
        .unwrap();
    assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(res.headers()["content-type"], "application/problem+json");
    let problem: Problem = serde_json::from_str(&read_text(res.into_body()).await).unwrap();
    assert_eq!(problem.outcome, oleanderpost_types::Outcome::NotRun);
    server.close().await;
}

#[tokio::test]
async fn plain_service_counts_a_run_whose_answer_is_lost() {
    let server = PlainServer::new(any_port(), any_port()).await.unwrap();
    let client = Client::new(server.address());
    let control = Client::new(server.control_address());
    control.put("/v1/faults", r#"{"lose_answers": 1}"#).await;
    let headers = [("x-request-key", KEY)];
    assert!(
        client
            .send("POST", "/bookings", &headers, "one")
            .await
            .is_err()
    );
    let res = client
        .send("POST", "/bookings", &headers, "two")
        .await
        .unwrap();
    assert!(read_text(res.into_body()).await.contains(r#""body":"two""#));
    let evidence: PlainEvidence = control.get("/v1/evidence").await;
    assert_eq!(evidence.count(KEY), 2);
    control.put("/v1/faults", r#"{"down": true}"#).await;
    assert!(
        client
            .send("POST", "/bookings", &headers, "three")
            .await
            .is_err()
    );
    assert_eq!(server.evidence().runs.len(), 2);
    server.close().await;
}

#[tokio::test]
async fn proxy_silences_open_connections_only() {
    let (server, _) = start_engine(1_000.0).await;
    let proxy = TcpProxy::new(any_port(), server.address()).await.unwrap();
    let client = Client::new(proxy.address());
    let mut events = open_stream(&client, 2_000).await;
    events.frame().await.unwrap().unwrap();
    proxy.silence_connections();
    let new_client = Client::new(proxy.address());
    let path = format!("/v1/streams/{KEY}");
    let finished =
        async { while !matches!(new_client.get(&path).await, StreamStatus::Finished { .. }) {} };
    tokio::select! {
        () = async { while events.frame().await.is_some_and(|frame| frame.is_ok()) {} } => {
            panic!("the silent connection ended")
        }
        () = finished => {}
    }
    proxy.reset_connections();
    assert!(events.collect().await.is_err());
    proxy.close().await;
    server.close().await;
}

//! Requests pass from a caller through a node to an upstream, with real processes.

mod common;

use common::{Caller, Fleet};
use hyper::StatusCode;

#[tokio::test]
async fn completions_and_plain_calls_are_answered_through_either_node() {
    let fleet = Fleet::start(2, 2, &["--time-scale", "20"]).await;
    for node in &fleet.nodes {
        let caller = Caller::new(node.callers);
        for prompt in [1_000, 100_000] {
            let answer = caller
                .stream(prompt, 8)
                .await
                .expect("the node must answer");
            assert!(answer.complete, "{prompt} tokens: {answer:?}");
            assert_eq!(answer.tokens, 8);
        }
        let reply = caller.book("/slots?day=1", &[], "one slot").await;
        assert_eq!(reply.status, StatusCode::OK);
        assert_eq!(reply.json()["body"], "one slot");
        assert_eq!(reply.json()["path"], "/slots?day=1");
    }
}

#[tokio::test]
async fn a_completion_without_streaming_returns_the_whole_text() {
    let fleet = Fleet::start(1, 1, &["--time-scale", "20"]).await;
    let caller = Caller::new(fleet.nodes[0].callers);
    let body = common::completion(1_000, 5, false);
    let reply = caller.post("/v1/completions", &[], body).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.json()["tokens"], 5);
    assert_eq!(reply.json()["finish_reason"], "length");
}

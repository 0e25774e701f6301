//! Checks that `oleanderpost load` detects wrong answers, with a server that returns faulty ones.

use std::{
    net::SocketAddr,
    process::Command,
    sync::{Arc, Mutex},
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use oleanderpost::types::{Attempt, FinishReason, Outcome, Problem, RequestKey, StreamEvent};
use oleanderpost_standin::GeneratedText;

const ANSWER_TOKENS: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// No fault: the answer is whole.
    None,
    /// The first token belongs to another request.
    OtherRequest,
    /// The third token belongs to another attempt.
    OtherAttempt,
    /// A token is missing.
    MissingToken,
    /// A token is sent twice.
    DuplicateToken,
    /// The end event counts one token more than was sent.
    WrongCount,
    /// Fewer tokens than requested, with a matching end event.
    TooFewTokens,
    /// The end event is missing.
    NoEnd,
    /// Reports `not_run` after a token.
    NotRunAfterToken,
    /// Reports `not_run` although the evidence lists a run.
    FalseNotRun,
    /// The answer is whole, but the evidence lists two runs.
    RanTwice,
    /// Reports `unknown`.
    Unknown,
}

/// An engine that answers each request with the same fault and serves evidence of its runs.
#[derive(Clone)]
struct FaultyServer {
    fault: Fault,
    keys: Arc<Mutex<Vec<RequestKey>>>,
}

impl FaultyServer {
    async fn start(fault: Fault) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Self {
            fault,
            keys: Arc::default(),
        };
        tokio::spawn(async move {
            while let Ok((conn, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(conn));
            }
        });
        address
    }

    async fn serve(self, mut conn: TcpStream) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(conn.read_u8().await.unwrap());
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        let len = header_value(&head, "content-length").map_or(0, |len| len.parse().unwrap());
        conn.read_exact(&mut vec![0; len]).await.unwrap();
        let (status, kind, body) = match header_value(&head, "idempotency-key") {
            Some(key) => self.answer(key.parse().unwrap()),
            None => ("200 OK", "application/json", self.evidence().to_string()),
        };
        let head =
            format!("HTTP/1.1 {status}\r\ncontent-type: {kind}\r\nconnection: close\r\n\r\n");
        let _ = conn.write_all(format!("{head}{body}").as_bytes()).await;
    }

    fn answer(&self, key: RequestKey) -> (&'static str, &'static str, String) {
        self.keys.lock().unwrap().push(key);
        let outcome = match self.fault {
            Fault::FalseNotRun => Outcome::NotRun,
            Fault::Unknown => Outcome::Unknown,
            _ => {
                let events = self.events(key);
                let frames = events
                    .iter()
                    .map(|event| format!("data: {}\n\n", json!(event)));
                return ("200 OK", "text/event-stream", frames.collect());
            }
        };
        let body = json!(problem(outcome)).to_string();
        ("503 Service Unavailable", "application/problem+json", body)
    }

    fn events(&self, key: RequestKey) -> Vec<StreamEvent> {
        let own = GeneratedText::new(key, Attempt::new(0));
        let token = |generated: GeneratedText, offset| StreamEvent::Token {
            offset,
            count: 1,
            text: generated.text(offset, offset + 1),
        };
        let mut events: Vec<_> = (0..ANSWER_TOKENS)
            .map(|offset| token(own, offset))
            .collect();
        let end = |tokens| StreamEvent::End {
            tokens,
            finish_reason: FinishReason::Length,
        };
        events.push(end(ANSWER_TOKENS));
        match self.fault {
            Fault::OtherRequest => {
                let other =
                    GeneratedText::new(RequestKey::from_uuid(uuid::Uuid::nil()), Attempt::new(0));
                events[0] = token(other, 0);
            }
            Fault::OtherAttempt => events[2] = token(GeneratedText::new(key, Attempt::new(1)), 2),
            Fault::MissingToken => drop(events.remove(1)),
            Fault::DuplicateToken => events.insert(1, token(own, 0)),
            Fault::WrongCount => events[4] = end(ANSWER_TOKENS + 1),
            Fault::TooFewTokens => {
                events.truncate(2);
                events.push(end(2));
            }
            Fault::NoEnd => drop(events.pop()),
            Fault::NotRunAfterToken => {
                events.truncate(1);
                events.push(StreamEvent::Error(problem(Outcome::NotRun)));
            }
            Fault::None | Fault::FalseNotRun | Fault::RanTwice | Fault::Unknown => {}
        }
        events
    }

    fn evidence(&self) -> Value {
        let runs = |key: &RequestKey| {
            let run = json!({
                "key": key, "attempt": 0, "holder": null, "arrived": 0, "started": 0, "ended": 1,
                "end": "finished", "prompt": 1, "generated": ANSWER_TOKENS, "memory": 1,
            });
            vec![run; if self.fault == Fault::RanTwice { 2 } else { 1 }]
        };
        let keys = self.keys.lock().unwrap();
        let runs: Vec<Value> = keys.iter().flat_map(runs).collect();
        json!({"runs": runs, "held": 0, "holdings": [], "orders": []})
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

fn problem(outcome: Outcome) -> Problem {
    Problem {
        kind: "on-purpose".to_owned(),
        status: 503,
        detail: "on purpose".to_owned(),
        outcome,
        retry_after_ms: None,
    }
}

async fn run_load(fault: Fault) -> (i32, Value) {
    let address = FaultyServer::start(fault).await.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderpost"));
    command.args(["load", "--direct", &address, "--evidence", &address]);
    command.args(["--service", "base", "--phase", "40x0.5", "--answer", "4"]);
    command.args([
        "--longest",
        "1000",
        "--long-share",
        "0",
        "--repeatable",
        "false",
    ]);
    command.args(["--output", "json"]);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    let report = serde_json::from_slice(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap(), report.expect(&stderr))
}

async fn expect_only_ending(fault: Fault, expected_code: i32, ending: &str) -> Value {
    let (exit_code, report) = run_load(fault).await;
    assert_eq!(exit_code, expected_code, "{fault:?}: {report}");
    let endings = report["phases"][0]["endings"].as_object().unwrap();
    for (name, count) in endings {
        let counted = count.as_u64().unwrap() > 0;
        assert_eq!(counted, name == ending, "{fault:?}: {name} {count}");
    }
    report
}

#[tokio::test]
async fn wrong_answers_count_as_broken() {
    let faults = [
        Fault::OtherRequest,
        Fault::OtherAttempt,
        Fault::MissingToken,
        Fault::DuplicateToken,
        Fault::WrongCount,
        Fault::TooFewTokens,
        Fault::NoEnd,
        Fault::NotRunAfterToken,
    ];
    for fault in faults {
        expect_only_ending(fault, 1, "broken").await;
    }
}

#[tokio::test]
async fn whole_answers_and_reported_failures_pass() {
    expect_only_ending(Fault::None, 0, "whole").await;
    expect_only_ending(Fault::Unknown, 0, "unknown").await;
}

#[tokio::test]
async fn evidence_reveals_false_not_run_and_second_runs() {
    let report = expect_only_ending(Fault::FalseNotRun, 1, "not_run").await;
    assert!(report["audit"]["false_not_run"].as_u64().unwrap() > 0);
    let report = expect_only_ending(Fault::RanTwice, 1, "whole").await;
    assert!(report["audit"]["ran_twice"].as_u64().unwrap() > 0);
}

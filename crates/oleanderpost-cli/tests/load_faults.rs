//! `oleanderpost load` finds what is wrong with answers: a server misbehaves on purpose.

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
use oleanderpost_standin::Sample;

const ANSWER: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The answer is whole.
    None,
    /// The answer of another request.
    Foreign,
    /// The second half comes from another attempt.
    Spliced,
    /// A token is missing.
    Gap,
    /// A token comes twice.
    Doubled,
    /// The end counts what did not come.
    WrongCount,
    /// Fewer tokens than asked for, with a matching end.
    Short,
    /// No end.
    Truncated,
    /// Says `not_run` after a token.
    LateNotRun,
    /// Says `not_run`, but ran.
    FalseNotRun,
    /// Whole, but ran twice.
    Twice,
    /// Says `unknown`.
    Unknown,
}

/// An engine that answers each request with the same fault.
#[derive(Clone)]
struct Server {
    fault: Fault,
    keys: Arc<Mutex<Vec<RequestKey>>>,
}

impl Server {
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
        let len = field(&head, "content-length").map_or(0, |len| len.parse().unwrap());
        conn.read_exact(&mut vec![0; len]).await.unwrap();
        let (status, kind, body) = match field(&head, "idempotency-key") {
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
        let own = Sample::new(key, Attempt::new(0));
        let token = |sample: Sample, offset| StreamEvent::Token {
            offset,
            count: 1,
            text: sample.text(offset, offset + 1),
        };
        let mut events: Vec<_> = (0..ANSWER).map(|offset| token(own, offset)).collect();
        let end = |tokens| StreamEvent::End {
            tokens,
            finish_reason: FinishReason::Length,
        };
        events.push(end(ANSWER));
        match self.fault {
            Fault::Foreign => {
                let other = Sample::new(RequestKey::from_uuid(uuid::Uuid::nil()), Attempt::new(0));
                events[0] = token(other, 0);
            }
            Fault::Spliced => events[2] = token(Sample::new(key, Attempt::new(1)), 2),
            Fault::Gap => drop(events.remove(1)),
            Fault::Doubled => events.insert(1, token(own, 0)),
            Fault::WrongCount => events[4] = end(ANSWER + 1),
            Fault::Short => {
                events.truncate(2);
                events.push(end(2));
            }
            Fault::Truncated => drop(events.pop()),
            Fault::LateNotRun => {
                events.truncate(1);
                events.push(StreamEvent::Error(problem(Outcome::NotRun)));
            }
            Fault::None | Fault::FalseNotRun | Fault::Twice | Fault::Unknown => {}
        }
        events
    }

    fn evidence(&self) -> Value {
        let runs = |key: &RequestKey| {
            let run = json!({
                "key": key, "attempt": 0, "holder": null, "arrived": 0, "started": 0, "ended": 1,
                "end": "finished", "prompt": 1, "generated": ANSWER, "memory": 1,
            });
            vec![run; if self.fault == Fault::Twice { 2 } else { 1 }]
        };
        let keys = self.keys.lock().unwrap();
        let runs: Vec<Value> = keys.iter().flat_map(runs).collect();
        json!({"runs": runs, "held": 0, "holdings": [], "orders": []})
    }
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
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

async fn load(fault: Fault) -> (i32, Value) {
    let address = Server::start(fault).await.to_string();
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

async fn check(fault: Fault, code: i32, ending: &str) -> Value {
    let (found, report) = load(fault).await;
    assert_eq!(found, code, "{fault:?}: {report}");
    let endings = report["phases"][0]["endings"].as_object().unwrap();
    for (name, count) in endings {
        let counted = count.as_u64().unwrap() > 0;
        assert_eq!(counted, name == ending, "{fault:?}: {name} {count}");
    }
    report
}

#[tokio::test]
async fn wrong_answers_are_broken() {
    let faults = [
        Fault::Foreign,
        Fault::Spliced,
        Fault::Gap,
        Fault::Doubled,
        Fault::WrongCount,
        Fault::Short,
        Fault::Truncated,
        Fault::LateNotRun,
    ];
    for fault in faults {
        check(fault, 1, "broken").await;
    }
}

#[tokio::test]
async fn whole_answers_and_stated_failures_are_kept() {
    check(Fault::None, 0, "whole").await;
    check(Fault::Unknown, 0, "unknown").await;
}

#[tokio::test]
async fn evidence_shows_false_refusals_and_second_runs() {
    let report = check(Fault::FalseNotRun, 1, "not_run").await;
    assert!(report["audit"]["false_not_run"].as_u64().unwrap() > 0);
    let report = check(Fault::Twice, 1, "whole").await;
    assert!(report["audit"]["ran_twice"].as_u64().unwrap() > 0);
}

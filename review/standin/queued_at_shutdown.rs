//! A request that still waits for an engine when the drain time of its node ends.

use std::{path::Path, thread, time::Duration};

use crate::{
    Outcome,
    engine::{Engine, Work},
    http::{Answer, End, call, request_bytes},
    node::{IN_TOUCH_AFTER, start_nodes},
    operator::{HOST, config},
    record::Record,
    store::Store,
};

/// Prompts that arrive together. They take the engine 2.8 s each, one after the other.
const PROMPTS: usize = 4;
/// `X-Token-Count` of each prompt: within the sizes of `revision-dossier`.
const TOKEN_COUNT: &str = "125000,688";
/// `X-Deadline-Ms` of `revision-dossier`.
const DEADLINE_MS: u64 = 15_000;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7));
    let engine = Engine::start("i-engine", "llm", "zone-a", Work::Model, record);
    engine.publish(&store, "ready");
    let Some(mut nodes) = start_nodes(1, &store, folder, record) else {
        return Outcome::NotRun;
    };
    let node = &mut nodes[0];
    thread::sleep(IN_TOUCH_AFTER);
    let front = node.front;
    let clients: Vec<_> = (1..=PROMPTS)
        .map(|n| {
            let id = format!("review{n}");
            let record = record.clone();
            record.line(&format!("client sends {id}"));
            let client = thread::spawn(move || {
                let deadline = DEADLINE_MS.to_string();
                let headers = [
                    ("Host", HOST),
                    ("X-Request-Id", id.as_str()),
                    ("X-Model", "m"),
                    ("X-Token-Count", TOKEN_COUNT),
                    ("X-Length-Hint", "688"),
                    ("X-Deadline-Ms", &deadline),
                ];
                let req = request_bytes("POST", "/review/x", &headers, &[b'p'; 600]);
                let answer = call(front, &req, Duration::from_millis(DEADLINE_MS));
                record.line(&format!(
                    "client of {id} has {:?}, status {}, {} bytes",
                    answer.end,
                    answer.status,
                    answer.body.len()
                ));
                (id, answer)
            });
            thread::sleep(Duration::from_millis(20));
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    if trouble {
        record.line(&format!("{} gets SIGTERM", node.name));
        node.signal("TERM");
    }
    let answers: Vec<(String, Answer)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    if trouble {
        let has_ended = node.has_ended();
        record.line(&format!("{} has ended: {has_ended}", node.name));
    }
    // Cut in the last sixth of the grace period while its engine was at work: excused by the rule.
    let is_lost = |(id, answer): &&(String, Answer)| {
        answer.end == End::ClosedWithoutAnswer && engine.runs(id) == 0
    };
    let lost: Vec<_> = answers.iter().filter(is_lost).map(|(id, _)| id).collect();
    for id in &lost {
        record.line(&format!(
            "{id}: read as a whole, sent to no engine, and its channel was closed without an answer"
        ));
    }
    if !trouble && answers.iter().any(|(_, a)| a.end != End::Complete) {
        record.line("a request failed without a disruption");
        return Outcome::Broken;
    }
    if lost.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

//! Measures the effect on callers when one of seven nodes is killed, with real processes.
//!
//! Callers stream short answers from each node without a pause. One node gets SIGKILL after
//! [`TIME_BEFORE_KILL`].

#[path = "../tests/common/mod.rs"]
mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{Fleet, StreamResult, stream, wait_nothing_held};
use tokio::time::{Instant, sleep};

const NODES: usize = 7;
const ENGINES: usize = 4;
const CALLERS_PER_NODE: usize = 3;
const ANSWER_TOKENS: u32 = 20;
const TIME_BEFORE_KILL: Duration = Duration::from_secs(8);
const TIME_AFTER_KILL: Duration = Duration::from_secs(12);
const BIN_WIDTH: Duration = Duration::from_millis(500);

struct Request {
    node: usize,
    started: Instant,
    ended: Instant,
    result: String,
}

fn describe(result: &StreamResult) -> String {
    match result {
        StreamResult::Answer(answer) if answer.complete => "whole".to_owned(),
        StreamResult::Answer(_) => "ended by an error event".to_owned(),
        StreamResult::Refused(reply) => format!("refused, outcome {}", reply.json()["outcome"]),
        StreamResult::Broken => "connection broken".to_owned(),
        StreamResult::NoConnection => "no connection".to_owned(),
    }
}

async fn send_requests(node: usize, address: std::net::SocketAddr, until: Instant) -> Vec<Request> {
    let mut requests = Vec::new();
    while Instant::now() < until {
        let started = Instant::now();
        let result = stream(address, 1_000, ANSWER_TOKENS).await;
        let no_connection = matches!(result, StreamResult::NoConnection);
        requests.push(Request {
            node,
            started,
            ended: Instant::now(),
            result: describe(&result),
        });
        if no_connection {
            break;
        }
    }
    requests
}

fn print_results<'a>(title: &str, requests: impl Iterator<Item = &'a Request>) {
    let mut counts = BTreeMap::new();
    for request in requests {
        *counts.entry(request.result.as_str()).or_insert(0) += 1;
    }
    println!("{title}: {counts:?}");
}

#[tokio::main]
async fn main() {
    let mut fleet = Fleet::start(NODES, ENGINES, &[]).await;
    sleep(Duration::from_secs(3)).await;
    let started = Instant::now();
    let until = started + TIME_BEFORE_KILL + TIME_AFTER_KILL;
    let callers = fleet.nodes.iter().enumerate().flat_map(|(number, node)| {
        let address = node.callers;
        (0..CALLERS_PER_NODE).map(move |_| tokio::spawn(send_requests(number, address, until)))
    });
    let callers: Vec<_> = callers.collect();
    sleep(TIME_BEFORE_KILL).await;
    fleet.nodes[0].process.signal("KILL");
    let killed = Instant::now();
    fleet.nodes[0].process.wait();
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.expect("the caller must not panic"));
    }
    let in_flight = |request: &&Request| request.started <= killed && request.ended > killed;
    print_results(
        "in flight on the killed node",
        all.iter().filter(in_flight).filter(|r| r.node == 0),
    );
    print_results(
        "in flight on the six others",
        all.iter().filter(in_flight).filter(|r| r.node != 0),
    );
    print_results(
        "started after the kill on the six others",
        all.iter().filter(|r| r.started > killed && r.node != 0),
    );
    let slowest = all
        .iter()
        .filter(|r| r.node != 0)
        .map(|r| r.ended - r.started)
        .max();
    println!("slowest request on the six others: {slowest:?}");
    let bins = (TIME_BEFORE_KILL + TIME_AFTER_KILL).as_millis() / BIN_WIDTH.as_millis();
    for bin in 0..u32::try_from(bins).expect("a small number") {
        let (from, to) = (started + BIN_WIDTH * bin, started + BIN_WIDTH * (bin + 1));
        let complete = all.iter().filter(|r| r.node != 0 && r.result == "whole");
        let complete = complete.filter(|r| r.ended >= from && r.ended < to).count();
        let after = from.saturating_duration_since(killed);
        println!(
            "{:>6} ms after the kill: {complete} whole answers on the six others",
            after.as_millis()
        );
    }
    println!(
        "nothing held at the end: {}",
        wait_nothing_held(&fleet, Duration::from_secs(30)).await
    );
}

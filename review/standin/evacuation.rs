//! The operator evacuates a zone while the zone's servers begin to drain.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    engine::{Engine, Work},
    http::{End, call_on, connect, request_bytes},
    node::{IN_TOUCH_AFTER, Node, start_nodes},
    operator::{HOST, config},
    record::Record,
    store::Store,
};

const NODES: usize = 3;
/// Clients that send prompts; all of them send at the same time, as in a burst.
const CLIENTS: usize = 210;
/// Time between two such bursts.
const BURST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between the requests of two clients in a burst.
const BURST_SPREAD: Duration = Duration::from_micros(12);
/// Clients of the plain service.
const PLAIN_CLIENTS: usize = 12;
/// `timeoutMs` of the plain service's route.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after the route's timeout within which a request must be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Servers of the zone that is emptied.
const LEAVING_SERVERS: usize = 8;
/// Time for which a server serves after its notice: `drainMs`, and some more.
const DRAIN_TIME: Duration = Duration::from_millis(3_400);
/// Maximum number of evacuations.
const MAX_ROUNDS: u32 = 20;
/// Time after which no further evacuation begins.
const MAX_TIME: Duration = Duration::from_secs(80);

/// Requests to the plain service.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    /// Without an answer at the route's timeout.
    late: AtomicU64,
    /// Without an answer half a second later.
    unanswered: AtomicU64,
}

impl Counts {
    /// Whether more than half of the requests without an answer at the timeout have none half a second later.
    fn is_broken(&self) -> bool {
        self.unanswered.load(Ordering::Relaxed) * 2 > self.late.load(Ordering::Relaxed)
    }
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let started = Instant::now();
    let store = Store::start();
    store.put("op/config", &config(7));
    let plain = Work::Plain(Duration::from_millis(15));
    let staying = [
        Engine::start("i-api", "api", "zone-b", plain, record),
        Engine::start("i-staying", "llm", "zone-b", Work::Model, record),
    ];
    for server in &staying {
        server.publish(&store, "ready");
    }
    let Some(nodes) = start_nodes(NODES, &store, folder, record) else {
        return Outcome::NotRun;
    };
    thread::sleep(IN_TOUCH_AFTER);
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (front, stop, record) = (nodes[n % NODES].front, Arc::clone(&stop), record.clone());
        clients.push(thread::spawn(move || {
            send_prompts(n, front, started, &stop, &record);
        }));
    }
    for n in 0..PLAIN_CLIENTS {
        let node = &nodes[n % NODES];
        let (front, name) = (node.front, node.name.clone());
        let (stop, counts, record) = (Arc::clone(&stop), Arc::clone(&counts), record.clone());
        clients.push(thread::spawn(move || {
            send_plain(n, front, &name, &counts, &stop, &record);
        }));
    }
    for round in 1..=MAX_ROUNDS {
        if started.elapsed() > MAX_TIME || counts.is_broken() {
            break;
        }
        empty_zone(round, trouble, started, &store, &nodes, record);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!(
        "{} plain requests sent, {} without an answer at the route's timeout, {} half a second later",
        counts.sent.load(Ordering::Relaxed),
        counts.late.load(Ordering::Relaxed),
        counts.unanswered.load(Ordering::Relaxed)
    ));
    if counts.is_broken() {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Starts servers in `zone-a`, lets them drain while the zone is evacuated, and takes both back.
fn empty_zone(
    round: u32,
    trouble: bool,
    started: Instant,
    store: &Store,
    nodes: &[Node],
    record: &Record,
) {
    let servers: Vec<_> = (1..=LEAVING_SERVERS)
        .map(|n| {
            Engine::start(
                &format!("i-{round}-{n}"),
                "llm",
                "zone-a",
                Work::Model,
                record,
            )
        })
        .collect();
    for server in &servers {
        server.publish(store, "ready");
    }
    thread::sleep(Duration::from_millis(700));
    if trouble {
        // Some moment around a burst.
        let bursts = started.elapsed().as_millis() / BURST_INTERVAL.as_millis() + 1;
        let burst = started + BURST_INTERVAL * bursts as u32;
        let at = burst - Duration::from_micros(4_000) + Duration::from_micros(500) * (round % 12);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        record.line(&format!(
            "evacuation {round}: the servers of zone-a drain, and the operator evacuates it"
        ));
        for server in &servers {
            server.publish(store, "draining");
        }
        store.put("op/evacuate/zone-a", "{}");
    }
    thread::sleep(DRAIN_TIME / 2);
    for node in nodes {
        if !node.is_ready() {
            record.line(&format!("{} does not answer GET /v1/readyz", node.name));
        }
    }
    thread::sleep(DRAIN_TIME / 2);
    for server in &servers {
        store.remove(&format!("servers/{}", server.id));
    }
    store.remove("op/evacuate/zone-a");
    thread::sleep(Duration::from_millis(500));
}

/// Sends short prompts, one in each burst.
fn send_prompts(n: usize, front: SocketAddr, started: Instant, stop: &AtomicBool, record: &Record) {
    let mut stream = None;
    let mut burst = 0;
    while !stop.load(Ordering::Relaxed) {
        let Some(connection) = stream.get_or_insert_with(|| connect(front)) else {
            stream = None;
            thread::sleep(BURST_INTERVAL);
            continue;
        };
        let elapsed = started.elapsed().as_millis() / BURST_INTERVAL.as_millis();
        burst = (elapsed as u32 + 1).max(burst + 1);
        let at = started + BURST_INTERVAL * burst + BURST_SPREAD * n as u32;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let id = format!("review{n}-{burst}");
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Model", "m"),
            ("X-Token-Count", "4960,43"),
            ("X-Deadline-Ms", "15000"),
        ];
        let req = request_bytes("POST", "/review/x", &headers, &[b'p'; 600]);
        let sent = Instant::now();
        let answer = call_on(connection, &req, Duration::from_secs(15));
        record.answer(&id, &answer, sent);
        if answer.end != End::Complete {
            stream = None;
        }
    }
}

/// Sends requests to the plain service, and counts those that are not answered in time.
fn send_plain(
    n: usize,
    front: SocketAddr,
    node: &str,
    counts: &Counts,
    stop: &AtomicBool,
    record: &Record,
) {
    let mut stream = None;
    for number in 1.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Some(connection) = stream.get_or_insert_with(|| connect(front)) else {
            stream = None;
            thread::sleep(BURST_INTERVAL);
            continue;
        };
        let id = format!("plain{n}-{number}");
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "2000"),
        ];
        let req = request_bytes("POST", "/once/x", &headers, b"body");
        let sent = Instant::now();
        let limit = PLAIN_TIMEOUT * 2;
        let answer = call_on(connection, &req, limit);
        record.answer(&format!("{id} to {node}"), &answer, sent);
        counts.sent.fetch_add(1, Ordering::Relaxed);
        if sent.elapsed() > PLAIN_TIMEOUT {
            if sent.elapsed() > PLAIN_TIMEOUT + ANSWER_MARGIN {
                counts.unanswered.fetch_add(1, Ordering::Relaxed);
            }
            counts.late.fetch_add(1, Ordering::Relaxed);
        }
        if answer.end != End::Complete {
            stream = None;
        }
        thread::sleep(Duration::from_millis(40));
    }
}

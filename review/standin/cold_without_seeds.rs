//! A cold server while all seeds have been down for longer than the nodes remember the size of the fleet.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    engine::{Engine, Work},
    http::{End, call_on, connect, request_bytes},
    node::{IN_TOUCH_AFTER, MAX_SEEDS, start_nodes},
    operator::{HOST, config},
    record::Record,
    store::Store,
};

const NODES: usize = 12;
/// Time between two requests to a node.
const PAUSE: Duration = Duration::from_millis(90);
/// Time between two SIGTERMs.
const GAP: Duration = Duration::from_millis(1_300);
/// Time from the loss of the seeds until the server that served so far crashes.
const WITHOUT_SEEDS: Duration = Duration::from_secs(40);
/// `coldS`.
const COLD_MS: u64 = 3_000;
/// `coldPerS` x `coldOver` + `coldSlack`.
const MAX_PER_SECOND: f64 = 15.0 * 1.5 + 5.0;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7));
    let plain = Work::Plain(Duration::from_millis(15));
    let warm = Engine::start("i-warm", "cold", "zone-a", plain, record);
    warm.publish(&store, "ready");
    let Some(nodes) = start_nodes(NODES, &store, folder, record) else {
        return Outcome::NotRun;
    };
    thread::sleep(IN_TOUCH_AFTER);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes[MAX_SEEDS..]
        .iter()
        .enumerate()
        .map(|(n, node)| {
            let (front, stop, record) = (node.front, Arc::clone(&stop), record.clone());
            thread::spawn(move || send(n, front, &stop, &record))
        })
        .collect();
    if trouble {
        for seed in &nodes[..MAX_SEEDS] {
            record.line(&format!("{} gets SIGTERM and leaves for good", seed.name));
            seed.signal("TERM");
            thread::sleep(GAP);
        }
    }
    thread::sleep(WITHOUT_SEEDS);
    record.line("i-warm is replaced by i-cold, which has just started");
    let cold = Engine::start("i-cold", "cold", "zone-a", plain, record);
    cold.publish_cold(&store, "ready", COLD_MS);
    warm.publish(&store, "draining");
    thread::sleep(Duration::from_millis(COLD_MS));
    let most = cold.most_per_second();
    stop.store(true, Ordering::Relaxed);
    let sent: u64 = clients.into_iter().map(|c| c.join().unwrap()).sum();
    record.line(&format!(
        "{sent} requests sent; i-cold got {most} in one second while it was cold, {MAX_PER_SECOND} allowed"
    ));
    if most as f64 > MAX_PER_SECOND {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends requests until `stop`, and returns how many.
fn send(n: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) -> u64 {
    let mut sent = 0;
    let mut stream = None;
    while !stop.load(Ordering::Relaxed) {
        let id = format!("cold{n}-{sent}");
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "1500"),
        ];
        let req = request_bytes("GET", "/cold/x", &headers, b"");
        if let Some(connection) = stream.get_or_insert_with(|| connect(front)) {
            sent += 1;
            let at = Instant::now();
            let answer = call_on(connection, &req, Duration::from_millis(1_500));
            record.answer(&id, &answer, at);
            if answer.end != End::Complete {
                stream = None;
            }
        } else {
            stream = None;
        }
        thread::sleep(PAUSE);
    }
    sent
}

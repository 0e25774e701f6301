//! Large configurations in quick succession, with nodes behind links of 20 Mbit/s.

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
    node::{IN_TOUCH_AFTER, start_nodes_at},
    operator::{HOST, config_with},
    record::Record,
    store::Store,
    throttle::start_throttle,
};

const NODES: usize = 3;
/// `linkMbps` of the slowest machines.
const LINK_MEGABITS: f64 = 20.0;
/// Routes by which the configuration has grown.
const IDLE_ROUTES: usize = 1_640;
/// Configurations of the storm, and the time between two of them.
const STORM: (u64, Duration) = (25, Duration::from_millis(60));
/// `applyMs`.
const APPLY_S: f64 = 3.0;
/// Time for which requests are sent after the last configuration.
const OBSERVED: Duration = Duration::from_secs(30);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    let mut version = 7;
    let first = config_with(version, IDLE_ROUTES, "api");
    record.line(&format!("configurations have {} bytes", first.len()));
    store.put("op/config", &first);
    let plain = Work::Plain(Duration::from_millis(15));
    let old = Engine::start("i-old", "api", "zone-a", plain, record);
    let new = Engine::start("i-new", "api-2", "zone-a", plain, record);
    old.publish(&store, "ready");
    new.publish(&store, "ready");
    let stores: Vec<_> = (0..NODES)
        .map(|_| start_throttle(store.address, LINK_MEGABITS))
        .collect();
    let Some(nodes) = start_nodes_at(&stores, folder, record) else {
        return Outcome::NotRun;
    };
    thread::sleep(IN_TOUCH_AFTER);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..NODES)
        .map(|n| {
            let (front, stop, record) = (nodes[n].front, Arc::clone(&stop), record.clone());
            thread::spawn(move || send(n, front, &stop, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line("configurations come in quick succession");
        for _ in 0..STORM.0 {
            version += 3;
            store.put("op/config", &config_with(version, IDLE_ROUTES, "api"));
            thread::sleep(STORM.1);
        }
    }
    version += 3;
    store.put("op/config", &config_with(version, IDLE_ROUTES, "api-2"));
    let acknowledged = record.now();
    record.line(&format!(
        "version {version} is acknowledged: it moves /moved/ from api to api-2"
    ));
    thread::sleep(OBSERVED);
    stop.store(true, Ordering::Relaxed);
    let sent: Vec<(f64, String)> = clients
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    let late: Vec<_> = sent
        .iter()
        .filter(|(at, id)| *at > acknowledged + APPLY_S && old.runs(id) > 0)
        .collect();
    if let (Some((first, _)), Some((last, _))) = (late.first(), late.last()) {
        record.line(&format!(
            "{} requests ran at the old service though sent over {APPLY_S} s after the acknowledgement: {:.1} to {:.1} s after it",
            late.len(),
            first - acknowledged,
            last - acknowledged
        ));
        return Outcome::Broken;
    }
    Outcome::Held
}

/// Sends a request each 50 ms; returns the times and identifiers of all.
fn send(n: usize, front: SocketAddr, stop: &AtomicBool, record: &Record) -> Vec<(f64, String)> {
    let mut sent = Vec::new();
    let mut stream = None;
    while !stop.load(Ordering::Relaxed) {
        let id = format!("moved{n}-{}", sent.len());
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "1200"),
        ];
        let req = request_bytes("GET", "/moved/x", &headers, b"");
        if let Some(connection) = stream.get_or_insert_with(|| connect(front)) {
            sent.push((record.now(), id.clone()));
            let at = Instant::now();
            let answer = call_on(connection, &req, Duration::from_millis(1_200));
            record.answer(&id, &answer, at);
            if answer.end != End::Complete {
                stream = None;
            }
        } else {
            stream = None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    sent
}

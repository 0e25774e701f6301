//! Engines that turn some requests away and close the channel, as servers with too much work do, are never used again.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Arrivals, Crashes, Engine, Trouble},
    node::Fleet,
    platform::{Call, Config},
    record::Record,
    store::Store,
};

/// Share of its requests that one of the three engines turns away, in percent, and for how long.
const SHED_PERCENT: usize = 40;
const SHED_TIME: Duration = Duration::from_millis(3_000);
/// How often each engine does so, one after the other.
const SHED_ROUNDS: usize = 4;
/// Length of the run, and intervals of the requests of each kind, those of the site's sheet.
const LENGTH: Duration = Duration::from_secs(106);
const INTERVALS: [Duration; 3] = [
    Duration::from_millis(29),
    Duration::from_millis(333),
    Duration::from_millis(311),
];
const KINDS: [&str; 3] = ["call-notes", "brine-alarm", "job-lookup"];

/// Requests of one kind.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
}

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Record, has_trouble: bool) -> bool {
    let store = Store::start();
    let (arrivals, crashes) = (Arrivals::default(), Crashes::default());
    let config = Config {
        version: 7,
        keys: vec!["key-a"],
        more_routes: 0,
    };
    store.put("op/config", &config.to_json());
    let zones = ["hall-a", "hall-b", "hall-c"];
    let start = |name: &str, service: &str, zone: &str| {
        let trouble = Trouble::default();
        Engine::start(
            name, service, zone, &store, record, &trouble, &arrivals, &crashes,
        )
    };
    let _models: Vec<_> = (0..16)
        .map(|n| start(&format!("llm{n}"), "llm", zones[n % 3]))
        .collect();
    let plain: Vec<_> = zones.iter().map(|zone| start(zone, "api", zone)).collect();
    let fleet = Arc::new(Fleet::start(dir, store.address(), record));
    let counts: Arc<[Counts; 3]> = Arc::default();
    let late: Arc<[Counts; 3]> = Arc::default();
    let started = Instant::now();
    let shed_end = SHED_TIME * u32::try_from(SHED_ROUNDS * plain.len()).expect("a few");
    let mut senders = Vec::new();
    for kind in 0..KINDS.len() {
        let (fleet, counts, late, record) = (
            Arc::clone(&fleet),
            Arc::clone(&counts),
            Arc::clone(&late),
            record.clone(),
        );
        senders.push(thread::spawn(move || {
            let mut clients = Vec::new();
            for n in 0.. {
                let at = INTERVALS[kind] * n;
                if at >= LENGTH {
                    break;
                }
                thread::sleep(at.saturating_sub(started.elapsed()));
                let (fleet, counts, late, record) = (
                    Arc::clone(&fleet),
                    Arc::clone(&counts),
                    Arc::clone(&late),
                    record.clone(),
                );
                clients.push(thread::spawn(move || {
                    let status = send(&fleet, &record, kind, n as usize);
                    count(&counts[kind], status);
                    if at > shed_end {
                        count(&late[kind], status);
                    }
                }));
            }
            for client in clients {
                client.join().expect("no panic");
            }
        }));
    }
    if has_trouble {
        for engine in (0..SHED_ROUNDS).flat_map(|_| &plain) {
            engine.shed_percent.store(SHED_PERCENT, Ordering::SeqCst);
            thread::sleep(SHED_TIME);
            engine.shed_percent.store(0, Ordering::SeqCst);
        }
        record.note("ENGINES turn no requests away any more");
    }
    for sender in senders {
        sender.join().expect("no panic");
    }
    for (kind, late) in KINDS.iter().zip(late.iter()) {
        record.note(&format!("AFTERWARDS {kind}: {}", describe(late)));
    }
    judge(record, &counts)
}

/// Sends a request; returns the status of a whole answer.
fn send(fleet: &Fleet, record: &Record, kind: usize, n: usize) -> Option<u16> {
    let (method, path, deadline) = [
        ("POST", "/stream/notes", 10_000),
        ("GET", "/safe/alarm", 1_000),
        ("POST", "/once/lookup", 1_000),
    ][kind];
    let id = format!("{}-{n}", KINDS[kind]);
    let headers = match kind {
        0 => format!(
            "X-Model: m\r\nX-Token-Count: 5000,700\r\nX-Prompt-Prefix: 5c1e07a2:40,{n:08x}:4960\r\n"
        ),
        _ => String::new(),
    };
    let call = Call {
        method,
        path,
        id: &id,
        key: "key-a",
        deadline: Duration::from_millis(deadline),
        headers,
        body: if method == "POST" { "body" } else { "" },
    };
    let node = &fleet.nodes[n % fleet.nodes.len()];
    let sent_ms = record.ms();
    let answer = call.send(node.front);
    let status = answer
        .as_ref()
        .ok()
        .filter(|answer| answer.is_whole)
        .map(|answer| answer.status);
    record.note(&format!(
        "CLIENT {id} to {} sent at {sent_ms}: {status:?}",
        node.name
    ));
    status
}

fn count(counts: &Counts, status: Option<u16>) {
    counts.sent.fetch_add(1, Ordering::SeqCst);
    match status {
        Some(200) => counts.served.fetch_add(1, Ordering::SeqCst),
        Some(503) => counts.refused.fetch_add(1, Ordering::SeqCst),
        _ => 0,
    };
}

fn describe(counts: &Counts) -> String {
    format!(
        "{} sent, {} served, {} refused",
        counts.sent.load(Ordering::SeqCst),
        counts.served.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst)
    )
}

/// Whether a kind of request was served less than a quarter as often as all requests.
fn judge(record: &Record, counts: &[Counts; 3]) -> bool {
    let served = |counts: &Counts| counts.served.load(Ordering::SeqCst) as f64;
    let sent = |counts: &Counts| counts.sent.load(Ordering::SeqCst) as f64;
    let all = counts.iter().map(served).sum::<f64>() / counts.iter().map(sent).sum::<f64>();
    let mut is_broken = false;
    for (kind, counts) in KINDS.iter().zip(counts) {
        let share = served(counts) / sent(counts);
        is_broken |= share < all / 4.0;
        record.note(&format!(
            "RESULT {kind}: {}; served {share:.3} of them, {all:.3} of all requests",
            describe(counts)
        ));
    }
    is_broken
}

//! A node that restarts while the store is silent schedules for all others before it knows any engine, and allows
//! any number of requests to engines that limit them.

use std::{
    collections::HashMap,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Arrival, Arrivals, Crashes, Engine, Trouble},
    node::Fleet,
    platform::{Call, Config},
    record::Record,
    store::Store,
};

/// Requests a second that each engine takes.
const LIMIT: f64 = 4.0;
/// Interval of the requests.
const INTERVAL: Duration = Duration::from_millis(11);
/// Times, from the first request on.
const NAMED_AT: Duration = Duration::from_millis(1_000);
const SILENT_AT: Duration = Duration::from_millis(8_000);
const KILLED_AT: Duration = Duration::from_millis(8_100);
const STARTED_AT: Duration = Duration::from_millis(8_600);
const BACK_AT: Duration = Duration::from_millis(12_500);
const END: Duration = Duration::from_millis(17_000);
/// `contactMs` of the site.
const CONTACT_MS: u64 = 3_000;
/// Window of the rule, and the time after which a machine is bound by an answer that it has passed on.
const WINDOW_MS: u64 = 4_000;
const BOUND_AFTER_MS: u64 = 500;

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
    let engines: Vec<_> = ["hall-a", "hall-b", "hall-c"]
        .iter()
        .map(|zone| {
            let trouble = Trouble::default();
            Engine::start(
                zone, "api", zone, &store, record, &trouble, &arrivals, &crashes,
            )
        })
        .collect();
    let fleet = Fleet::start(dir, store.address(), record);
    let fronts: Vec<_> = fleet.nodes.iter().map(|node| node.front).collect();
    let fleet = Arc::new(Mutex::new(fleet));
    let started = Instant::now();
    // When the client of a request got the engine's answer.
    let passed_on: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let sender = {
        let (record, passed_on) = (record.clone(), Arc::clone(&passed_on));
        thread::spawn(move || {
            let mut clients = Vec::new();
            for n in 0_usize.. {
                if started.elapsed() >= END {
                    break;
                }
                let (record, node) = (record.clone(), n % fronts.len());
                let passed_on = Arc::clone(&passed_on);
                let front = fronts[node];
                clients.push(thread::spawn(move || {
                    let id = format!("r-{node}-{n}");
                    let call = Call {
                        method: "GET",
                        path: "/safe/alarm",
                        id: &id,
                        key: "key-a",
                        deadline: Duration::from_millis(1_000),
                        headers: String::new(),
                        body: "",
                    };
                    let sent_ms = record.ms();
                    let answer = call.send(front).map(|answer| answer.status);
                    if answer == Ok(200) {
                        let mut passed_on = passed_on.lock().expect("no panic");
                        passed_on.insert(id.clone(), record.ms());
                    }
                    record.note(&format!("CLIENT {id} sent at {sent_ms}: {answer:?}"));
                }));
                thread::sleep(INTERVAL);
            }
            for client in clients {
                client.join().expect("no panic");
            }
        })
    };
    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(started.elapsed()));
    sleep_until(NAMED_AT);
    let named_ms = record.ms();
    for engine in &engines {
        *engine.limit.lock().expect("no panic") = Some(LIMIT);
    }
    record.note(&format!("ENGINES name Server-Limit: {LIMIT}"));
    let mut killed_ms = u64::MAX;
    if has_trouble {
        sleep_until(SILENT_AT);
        store.set_silent(true);
        record.note("STORE is silent");
        sleep_until(KILLED_AT);
        killed_ms = record.ms();
        fleet.lock().expect("no panic").nodes[0].kill();
        record.note("front-hall-a-1 is killed");
        sleep_until(STARTED_AT);
        fleet.lock().expect("no panic").nodes[0].start();
        record.note("front-hall-a-1 starts again");
        sleep_until(BACK_AT);
        store.set_silent(false);
        record.note("STORE answers again");
    }
    sender.join().expect("no panic");
    let passed_on = passed_on.lock().expect("no panic");
    judge(record, &arrivals.all(), &passed_on, named_ms, killed_ms)
}

/// Node to which the client sent the request.
fn node(arrival: &Arrival) -> &str {
    arrival.id.split('-').nth(1).unwrap_or("")
}

fn judge(
    record: &Record,
    arrivals: &[Arrival],
    passed_on: &HashMap<String, u64>,
    named_ms: u64,
    killed_ms: u64,
) -> bool {
    let allowed = (LIMIT * WINDOW_MS as f64 / 1e3 * 1.5 + 5.0) as usize;
    let mut is_broken = false;
    for engine in ["i-hall-a-0", "i-hall-b-0", "i-hall-c-0"] {
        let at_engine = |arrival: &&Arrival| arrival.engine == engine && arrival.at_ms > named_ms;
        // When each node first passed on an answer that names the limit.
        let mut told: HashMap<&str, u64> = HashMap::new();
        let mut first_named = u64::MAX;
        for arrival in arrivals.iter().filter(at_engine) {
            if let Some(at) = passed_on.get(&arrival.id).filter(|_| arrival.has_run) {
                let first = told.entry(node(arrival)).or_insert(*at);
                *first = (*first).min(*at);
                first_named = first_named.min(*at);
            }
        }
        let is_bound = |arrival: &&Arrival| {
            let since = told.get(node(arrival)).map(|at| at + BOUND_AFTER_MS);
            // A restart excuses the node that was killed.
            let is_excused = node(arrival) == "0" && arrival.at_ms >= killed_ms;
            let is_counted = arrival.at_ms >= first_named.saturating_add(CONTACT_MS) && !is_excused;
            is_counted && since.is_some_and(|since| arrival.at_ms > since)
        };
        let times: Vec<u64> = arrivals
            .iter()
            .filter(at_engine)
            .filter(is_bound)
            .map(|arrival| arrival.at_ms)
            .collect();
        let in_window = |from: &u64| {
            times
                .iter()
                .filter(|at| (*from..from + WINDOW_MS).contains(at))
                .count()
        };
        let (most, from) = times
            .iter()
            .map(|from| (in_window(from), *from))
            .max()
            .unwrap_or((0, 0));
        is_broken |= most > allowed;
        record.note(&format!(
            "RESULT {engine}: {most} requests of bound machines in the 4 s from {from} on, {allowed} allowed"
        ));
    }
    is_broken
}

//! A request crashes the engines that run it, and comes again from several clients at the same moment.

use std::{
    path::Path,
    sync::Arc,
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

/// `contactMs` of the site.
const CONTACT_MS: u64 = 3_000;
/// Retries of the request that may reach engines later than that after the third crash.
const ALLOWED: usize = 3;
/// Path of the request.
const PATH: &str = "/safe/deadly";
/// How often the clients ask, and the time between.
const ROUNDS: usize = 3;
const ROUND_INTERVAL: Duration = Duration::from_millis(4_000);
/// Interval of the sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Record, has_trouble: bool) -> bool {
    let store = Store::start();
    let (arrivals, crashes) = (Arrivals::default(), Crashes::default());
    let trouble = Trouble {
        crashing_path: has_trouble.then(|| PATH.to_owned()),
        ..Trouble::default()
    };
    let config = Config {
        version: 7,
        keys: vec!["key-a"],
        more_routes: 0,
    };
    store.put("op/config", &config.to_json());
    let _engines: Vec<_> = ["hall-a", "hall-b", "hall-c"]
        .iter()
        .map(|zone| {
            Engine::start(
                zone, "api", zone, &store, record, &trouble, &arrivals, &crashes,
            )
        })
        .collect();
    let fleet = Arc::new(Fleet::start(dir, store.address(), record));
    let started = Instant::now();
    let mut clients = Vec::new();
    for node in 0..fleet.nodes.len() {
        let (fleet, record) = (Arc::clone(&fleet), record.clone());
        clients.push(thread::spawn(move || {
            for round in 0..ROUNDS {
                let at = ROUND_INTERVAL * u32::try_from(round).expect("a few");
                thread::sleep(at.saturating_sub(started.elapsed()));
                send(
                    &fleet,
                    &record,
                    node,
                    &format!("deadly-{round}-{node}"),
                    "GET",
                    PATH,
                );
            }
        }));
    }
    let end = ROUND_INTERVAL * u32::try_from(ROUNDS).expect("a few");
    for n in 0.. {
        if started.elapsed() >= end {
            break;
        }
        let (fleet, record) = (Arc::clone(&fleet), record.clone());
        clients.push(thread::spawn(move || {
            let to = n % fleet.nodes.len();
            send(
                &fleet,
                &record,
                to,
                &format!("sound-{n}"),
                "POST",
                "/once/booking",
            );
        }));
        thread::sleep(SOUND_INTERVAL);
    }
    for client in clients {
        client.join().expect("no panic");
    }
    judge(record, &arrivals, &crashes, has_trouble)
}

fn send(fleet: &Fleet, record: &Record, node: usize, id: &str, method: &str, path: &str) {
    let call = Call {
        method,
        path,
        id,
        key: "key-a",
        deadline: Duration::from_millis(1_000),
        headers: String::new(),
        body: if method == "POST" { id } else { "" },
    };
    let sent_ms = record.ms();
    let name = &fleet.nodes[node].name;
    match call.send(fleet.nodes[node].front) {
        Ok(answer) => record.note(&format!(
            "CLIENT {id} to {name} sent at {sent_ms}: {}",
            answer.status
        )),
        Err(e) => record.note(&format!("CLIENT {id} to {name} sent at {sent_ms}: {e}")),
    }
}

fn judge(record: &Record, arrivals: &Arrivals, crashes: &Crashes, has_trouble: bool) -> bool {
    let crashes = crashes.all();
    let Some(third) = crashes.get(2) else {
        record.note(&format!("RESULT {} crashes", crashes.len()));
        if has_trouble {
            crate::cannot_run("there were fewer than three crashes");
        }
        return false;
    };
    let all = arrivals.all();
    let late: Vec<_> = all
        .iter()
        .filter(|arrival| arrival.id.starts_with("deadly") && arrival.at_ms > third + CONTACT_MS)
        .collect();
    for arrival in &late {
        record.note(&format!(
            "LATE {} reached {} at {}, {} ms after the third crash",
            arrival.id,
            arrival.engine,
            arrival.at_ms,
            arrival.at_ms - third
        ));
    }
    let cut =
        |arrival: &&crate::engine::Arrival| arrival.id.starts_with("sound") && arrival.was_cut;
    let cut_late = all
        .iter()
        .filter(cut)
        .filter(|arrival| arrival.at_ms > third + CONTACT_MS)
        .count();
    record.note(&format!(
        "RESULT {} requests reached engines later than {CONTACT_MS} ms after the third crash; {} crashes; {cut_late} \
         sound requests were cut off by crashes after that time",
        late.len(),
        crashes.len()
    ));
    late.len() > ALLOWED
}

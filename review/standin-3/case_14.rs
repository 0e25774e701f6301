//! A part of a prompt crashes the engines that begin to answer it, and requests with that part come in groups.

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
/// Requests with the part that may reach engines later than that after the fifth crash.
const ALLOWED: usize = 3;
/// Part that crashes engines.
const PART: &str = "bad0bad0";
/// Groups of requests with the part, the time between them, and the requests of one group, each at another node.
const GROUPS: usize = 2;
const GROUP_INTERVAL: Duration = Duration::from_millis(6_000);
const GROUP_LEN: usize = 6;
/// Interval of the sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Record, has_trouble: bool) -> bool {
    let store = Store::start();
    let (arrivals, crashes) = (Arrivals::default(), Crashes::default());
    let trouble = Trouble {
        crashing_part: has_trouble.then(|| PART.to_owned()),
        ..Trouble::default()
    };
    let config = Config {
        version: 7,
        keys: vec!["key-a"],
        more_routes: 0,
    };
    store.put("op/config", &config.to_json());
    let _engines: Vec<_> = (0..16)
        .map(|n| {
            let (name, zone) = (format!("llm{n}"), ["hall-a", "hall-b", "hall-c"][n % 3]);
            Engine::start(
                &name, "llm", zone, &store, record, &trouble, &arrivals, &crashes,
            )
        })
        .collect();
    let fleet = Arc::new(Fleet::start(dir, store.address(), record));
    let started = Instant::now();
    let mut clients = Vec::new();
    for group in 0..GROUPS {
        let at = GROUP_INTERVAL * u32::try_from(group).expect("a few");
        for n in 0..GROUP_LEN {
            let (fleet, record) = (Arc::clone(&fleet), record.clone());
            clients.push(thread::spawn(move || {
                thread::sleep(at.saturating_sub(started.elapsed()));
                let prefix = format!("5c1e07a2:40,{PART}:60000,{group:04x}{n:04x}:72960");
                let to = n % fleet.nodes.len();
                send(
                    &fleet,
                    &record,
                    to,
                    &format!("bad-{group}-{n}"),
                    "133000,700",
                    &prefix,
                );
            }));
        }
    }
    let end = GROUP_INTERVAL * u32::try_from(GROUPS).expect("a few");
    for n in 0.. {
        if started.elapsed() >= end {
            break;
        }
        let (fleet, record) = (Arc::clone(&fleet), record.clone());
        clients.push(thread::spawn(move || {
            let prefix = format!("5c1e07a2:40,{n:08x}:4960");
            let to = n % fleet.nodes.len();
            send(
                &fleet,
                &record,
                to,
                &format!("sound-{n}"),
                "5000,700",
                &prefix,
            );
        }));
        thread::sleep(SOUND_INTERVAL);
    }
    for client in clients {
        client.join().expect("no panic");
    }
    judge(record, &arrivals, &crashes, has_trouble)
}

fn send(fleet: &Fleet, record: &Record, node: usize, id: &str, tokens: &str, prefix: &str) {
    let call = Call {
        method: "POST",
        path: "/stream/review",
        id,
        key: "key-a",
        deadline: Duration::from_millis(15_000),
        headers: format!("X-Model: m\r\nX-Token-Count: {tokens}\r\nX-Prompt-Prefix: {prefix}\r\n"),
        body: "prompt",
    };
    let sent_ms = record.ms();
    let name = &fleet.nodes[node].name;
    match call.send(fleet.nodes[node].front) {
        Ok(answer) => record.note(&format!(
            "CLIENT {id} to {name} sent at {sent_ms}: {} whole={} bytes={}",
            answer.status,
            answer.is_whole,
            answer.body.len()
        )),
        Err(e) => record.note(&format!("CLIENT {id} to {name} sent at {sent_ms}: {e}")),
    }
}

fn judge(record: &Record, arrivals: &Arrivals, crashes: &Crashes, has_trouble: bool) -> bool {
    let crashes = crashes.all();
    let Some(fifth) = crashes.get(4) else {
        record.note(&format!("RESULT {} crashes", crashes.len()));
        if has_trouble {
            crate::cannot_run("there were fewer than five crashes");
        }
        return false;
    };
    let all = arrivals.all();
    let late: Vec<_> = all
        .iter()
        .filter(|arrival| arrival.prompt_parts.contains(PART) && arrival.at_ms > fifth + CONTACT_MS)
        .collect();
    for arrival in &late {
        record.note(&format!(
            "LATE {} reached {} at {}, {} ms after the fifth crash",
            arrival.id,
            arrival.engine,
            arrival.at_ms,
            arrival.at_ms - fifth
        ));
    }
    let cut = all
        .iter()
        .filter(|arrival| arrival.id.starts_with("sound") && arrival.was_cut)
        .count();
    record.note(&format!(
        "RESULT {} requests with the part reached engines later than {CONTACT_MS} ms after the fifth crash; {} crashes; \
         {cut} runs of sound requests were cut by a crash",
        late.len(),
        crashes.len()
    ));
    late.len() > ALLOWED
}

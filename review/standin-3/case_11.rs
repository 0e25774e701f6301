//! A key that was taken away is accepted by a node that restarts just after the store has come back from a copy.

use std::{
    path::Path,
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

/// `revokeMs` of the site.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time from the acknowledgement until the store goes away.
const UNTIL_AWAY: Duration = Duration::from_millis(5_200);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// Time until the operator has written again what the store has lost.
const REWRITE: Duration = Duration::from_millis(1_800);
/// Interval of the requests.
const INTERVAL: Duration = Duration::from_millis(20);

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Record, has_trouble: bool) -> bool {
    let store = Store::start();
    let (arrivals, crashes) = (Arrivals::default(), Crashes::default());
    let old = Config {
        version: 7,
        keys: vec!["key-a", "key-b"],
        more_routes: 0,
    };
    let new = Config {
        version: 11,
        keys: vec!["key-a"],
        more_routes: 350,
    };
    store.put("op/config", &old.to_json());
    let _engines: Vec<_> = ["hall-a", "hall-b", "hall-c"]
        .iter()
        .map(|zone| {
            Engine::start(
                zone,
                "api",
                zone,
                &store,
                record,
                &Trouble::default(),
                &arrivals,
                &crashes,
            )
        })
        .collect();
    let mut fleet = Fleet::start(dir, store.address(), record);
    let send = |fleet: &Fleet, node: usize, id: &str, key: &str| {
        let call = Call {
            method: "GET",
            path: "/safe/lookup",
            id,
            key,
            deadline: Duration::from_millis(1_000),
            headers: String::new(),
            body: "",
        };
        let sent_ms = record.ms();
        let answer = call
            .send(fleet.nodes[node].front)
            .map(|answer| answer.status);
        record.note(&format!(
            "CLIENT {id} key={key} to {} sent at {sent_ms}: {answer:?}",
            fleet.nodes[node].name
        ));
        answer
    };
    for node in 0..fleet.nodes.len() {
        if send(&fleet, node, &format!("before-{node}"), "key-b") != Ok(200) {
            crate::cannot_run("the key is not accepted before it is taken away");
        }
    }
    let copy = store.copy();
    store.put("op/config", &new.to_json());
    let acknowledged = Instant::now();
    record.note("OPERATOR version 11, without key-b and with 350 routes more, acknowledged");
    thread::sleep(UNTIL_AWAY);
    for node in 0..fleet.nodes.len() {
        // For the record.
        let _ = send(&fleet, node, &format!("after-{node}"), "key-b");
    }
    if has_trouble {
        record.note("STORE goes away; the process of front-hall-a-1 is killed");
        store.go_away();
        fleet.nodes[0].kill();
        thread::sleep(AWAY);
        store.come_back(copy);
        record.note("STORE is back from a copy; front-hall-a-1 starts again");
        fleet.nodes[0].start();
    }
    let back = Instant::now();
    let mut is_written_again = false;
    let mut late = Vec::new();
    for n in 0.. {
        if back.elapsed() >= REWRITE && !is_written_again {
            is_written_again = true;
            if has_trouble {
                store.put("op/config", &new.to_json());
                record.note("OPERATOR version 11 written again");
            }
        }
        if back.elapsed() >= REWRITE * 2 {
            break;
        }
        if fleet.nodes[0].is_ready() {
            let id = format!("late-{n}");
            let is_late = acknowledged.elapsed() > REVOKE;
            // The outcome counts at the engines.
            let _ = send(&fleet, 0, &id, "key-b");
            if is_late {
                late.push(id);
            }
        }
        thread::sleep(INTERVAL);
    }
    if late.is_empty() {
        crate::cannot_run("the node has not become ready");
    }
    let runs: Vec<_> = arrivals
        .all()
        .into_iter()
        .filter(|run| run.has_run && late.contains(&run.id))
        .collect();
    record.note(&format!(
        "RESULT {} of {} requests with key-b ran that were sent later than {} ms after the acknowledgement",
        runs.len(),
        late.len(),
        REVOKE.as_millis()
    ));
    !runs.is_empty()
}

//! Case: a key that was taken away, a store that comes back from a copy, and a process that is killed meanwhile.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    engine::Engine,
    http::Channel,
    platform::{Machine, config, run_folder, start_machines, wait_ready},
    record::Record,
    store::Store,
};

/// Bound of the site: `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);

struct Sent {
    at: Duration,
    key: &'static str,
    to: String,
    status: String,
}

type Log = Arc<Mutex<HashMap<String, Sent>>>;

/// Sends requests with `key`, each on a new channel, to the machine while it receives clients.
fn send_requests(machine: Arc<Machine>, key: &'static str, log: Log, record: Record, ended: Arc<AtomicBool>) {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(200));
        if !machine.in_rotation() {
            continue;
        }
        let id = format!("r{:06}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let at = record.now();
        let call = || -> std::io::Result<String> {
            let mut channel = Channel::connect(machine.addresses.front)?;
            channel.set_read_timeout(Duration::from_millis(1_000));
            let head = format!(
                "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\n\r\n"
            );
            channel.write(head.as_bytes())?;
            let head = channel.read_head()?;
            channel.read_body(&head)?;
            Ok(head.word(1).to_owned())
        };
        let status = call().unwrap_or_else(|e| e.to_string());
        record.line(&format!("  client sent {id} with {key} to {} at {:.3}: {status}", machine.name, at.as_secs_f64()));
        log.lock().unwrap().insert(id, Sent { at, key, to: machine.name.clone(), status });
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let fail = |e: std::io::Error| e.to_string();
    let dir = run_folder("revoked-key").map_err(fail)?;
    let store = Store::start().map_err(fail)?;
    let zones = ["hall-a", "hall-b", "hall-c"];
    let mut engines = Vec::new();
    for (n, zone) in zones.iter().enumerate() {
        engines.push(Engine::start(&format!("i-app{n}"), "field-api", zone, 6, &store, record).map_err(fail)?);
        engines.push(Engine::start(&format!("i-llm{n}"), "assist-models", zone, 16, &store, record).map_err(fail)?);
    }
    store.put("op/config", &config(10, &["key-of-two", "leaked-key"]));
    let machines = start_machines(3, &store, &dir, record).map_err(fail)?;
    let outcome = play(record, trouble, &store, &machines);
    machines.iter().for_each(|m| m.close());
    let _ = std::fs::remove_dir_all(&dir);
    let (log, acked_at) = outcome?;
    let log = log.lock().unwrap();
    let runs: Vec<_> = engines.iter().flat_map(|e| e.runs.lock().unwrap().clone()).collect();
    let mut broken = 0;
    for run in &runs {
        let Some(sent) = log.get(&run.request).filter(|sent| sent.key == "leaked-key") else {
            continue;
        };
        if sent.at > acked_at + REVOKE {
            broken += 1;
            record.line(&format!(
                "BROKEN: {} with the key taken away, sent {:.3} s after the acknowledgement to {}, ran at {} for {} (client got {})",
                run.request, (sent.at - acked_at).as_secs_f64(), sent.to, run.engine, run.tenant, sent.status
            ));
        }
    }
    let good = log.values().filter(|sent| sent.key == "key-of-one" && sent.status == "200").count();
    let early = log.values().filter(|sent| sent.key == "leaked-key" && sent.status == "200" && sent.at < acked_at).count();
    record.line(&format!("{} requests sent, {} runs; {good} with a sound key served; {early} with the other key before it was taken away; {broken} ran with it later than revokeMs", log.len(), runs.len()));
    if good < 50 || early < 10 {
        return Err("too few requests were served".to_owned());
    }
    Ok(broken > 0)
}

fn play(record: &Record, trouble: bool, store: &Store, machines: &[Arc<Machine>]) -> Result<(Log, Duration), String> {
    wait_ready(machines, record, 8.0)?;
    let log = Log::default();
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in machines {
        for key in ["key-of-one", "leaked-key"] {
            let (machine, log, record, ended) = (Arc::clone(machine), Arc::clone(&log), record.clone(), Arc::clone(&ended));
            clients.push(thread::spawn(move || send_requests(machine, key, log, record, ended)));
        }
    }
    let t = record.now().as_secs_f64();
    record.sleep_until(t + 3.7);
    let copy = store.copy();
    record.sleep_until(t + 4.0);
    store.put("op/config", &config(13, &["key-of-two"]));
    let acked_at = record.now();
    record.line("operator takes leaked-key away with version 13; the store acknowledges it");
    record.sleep_until(t + 6.4);
    if trouble {
        machines[2].kill("disruption");
    }
    record.sleep_until(t + 7.9);
    if trouble {
        record.line("the store is away");
        store.go_away();
    }
    record.sleep_until(t + 9.4);
    if trouble {
        store.come_back(copy);
        record.line("the store comes back from a copy of 5.7 s ago; what it acknowledged since is gone");
    }
    record.sleep_until(t + 9.5);
    if trouble {
        machines[2].start().map_err(|e| e.to_string())?;
    }
    record.sleep_until(t + 11.2);
    if trouble {
        store.put("op/config", &config(13, &["key-of-two"]));
        record.line("operator writes version 13 again, 1.8 s after the return");
    }
    record.sleep_until(t + 15.0);
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok((log, acked_at))
}

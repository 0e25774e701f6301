//! Case: engines in trouble answer streams with a failure whose body never ends, in small chunks.

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
    platform::{MEMORY_MB, Machine, config, run_folder, start_machines, wait_ready},
    record::Record,
    store::Store,
};

const MACHINES: usize = 3;
const ENGINES: usize = 16;
/// Engines in trouble.
const SICK: usize = 2;
/// Kept channels of clients to each machine.
const CHANNELS: usize = 15;
/// When the engine is in trouble for the first time, after the start of the traffic, for how long, and how often this comes
/// again, in seconds.
const TROUBLE_AT: f64 = 6.0;
const TROUBLE_FOR: f64 = 6.5;
const TROUBLE_INTERVAL: f64 = 11.0;
/// When the traffic ends.
const END_AT: f64 = 95.0;
/// A machine may close a kept channel without an answer so often (rule LOST).
const ALLOWED: usize = 3;

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Whole,
    Refused,
    Failed,
    /// The channel ended before the first byte of an answer.
    ClosedUnanswered,
    /// The channel ended inside the answer.
    Cut,
    NoChannel,
    Late,
}

struct Sent {
    to: String,
    kept: bool,
    outcome: Outcome,
}

type Log = Arc<Mutex<HashMap<String, Sent>>>;

/// Sends streams one after the other on a kept channel, as long as it lasts.
fn send_streams(machine: Arc<Machine>, n: usize, log: Log, record: Record, ended: Arc<AtomicBool>) {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    // Prompts of the site's three kinds of stream, about in their proportion.
    let prompt = match n {
        0 => 133_000,
        1 => 45_000,
        _ => 4_960,
    };
    let mut kept: Option<Channel> = None;
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(300));
        if kept.is_none() && !machine.in_rotation() {
            continue;
        }
        let id = format!("r{:06}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let at = record.now().as_secs_f64();
        let is_kept = kept.is_some();
        let channel = match kept.take() {
            Some(channel) => Ok(channel),
            None => Channel::connect(machine.addresses.front),
        };
        let outcome = match channel {
            Ok(mut channel) => {
                let (outcome, stays_open) = call(&mut channel, &id, prompt);
                if stays_open {
                    kept = Some(channel);
                }
                outcome
            }
            Err(_) => Outcome::NoChannel,
        };
        let text = match outcome {
            Outcome::Whole => "whole answer",
            Outcome::Refused => "503",
            Outcome::Failed => "failure",
            Outcome::ClosedUnanswered => "channel closed without an answer",
            Outcome::Cut => "cut in the answer",
            Outcome::NoChannel => "no channel",
            Outcome::Late => "no answer in time",
        };
        let kept_text = if is_kept { "kept" } else { "new" };
        record.line(&format!("  client sent {id} to {} on a {kept_text} channel at {at:.3}: {text}", machine.name));
        log.lock().unwrap().insert(id, Sent { to: machine.name.clone(), kept: is_kept, outcome });
    }
}

/// One request; also whether the channel can be used again.
fn call(channel: &mut Channel, id: &str, prompt: u32) -> (Outcome, bool) {
    channel.set_read_timeout(Duration::from_millis(10_000));
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\n\
         X-Token-Count: {prompt},860\r\nX-Prompt-Prefix: 5c1e07a2:40,{id}:{}\r\nAuthorization: Bearer key-of-one\r\nContent-Length: 4\r\n\r\nbody",
        prompt - 40
    );
    if channel.write(head.as_bytes()).is_err() {
        return (Outcome::ClosedUnanswered, false);
    }
    let head = match channel.read_head() {
        Ok(head) => head,
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => return (Outcome::Late, false),
        Err(_) => return (Outcome::ClosedUnanswered, false),
    };
    if channel.read_body(&head).is_err() {
        return (Outcome::Cut, false);
    }
    let outcome = match head.word(1) {
        "200" => Outcome::Whole,
        "503" | "429" => Outcome::Refused,
        _ => Outcome::Failed,
    };
    (outcome, !head.closes())
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let fail = |e: std::io::Error| e.to_string();
    let dir = run_folder("endless-answer").map_err(fail)?;
    let store = Store::start().map_err(fail)?;
    let zones = ["hall-a", "hall-b", "hall-c"];
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        engines.push(Engine::start(&format!("i-llm{n}"), "assist-models", zones[n % 3], 16, &store, record).map_err(fail)?);
    }
    for (n, zone) in zones.iter().enumerate() {
        engines.push(Engine::start(&format!("i-app{n}"), "field-api", zone, 6, &store, record).map_err(fail)?);
    }
    store.put("op/config", &config(10, &["key-of-two"]));
    let machines = start_machines(MACHINES, &store, &dir, record).map_err(fail)?;
    let played = play(record, trouble, &engines[..SICK], &machines);
    machines.iter().for_each(|m| m.close());
    let _ = std::fs::remove_dir_all(&dir);
    let log = played?;
    judge(record, &engines, &machines, &log)
}

fn play(record: &Record, trouble: bool, sick: &[Arc<Engine>], machines: &[Arc<Machine>]) -> Result<Log, String> {
    wait_ready(machines, record, 8.0)?;
    let log = Log::default();
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in machines {
        for n in 0..CHANNELS {
            let (machine, log, record, ended) = (Arc::clone(machine), Arc::clone(&log), record.clone(), Arc::clone(&ended));
            clients.push(thread::spawn(move || send_streams(machine, n, log, record, ended)));
        }
    }
    let t = record.now().as_secs_f64();
    let mut at = TROUBLE_AT;
    while trouble && at + TROUBLE_FOR < END_AT {
        record.sleep_until(t + at);
        record.line(&format!("{SICK} engines are in trouble: their answers to streams do not end"));
        sick.iter().for_each(|engine| engine.endless.store(true, Ordering::Relaxed));
        record.sleep_until(t + at + TROUBLE_FOR);
        sick.iter().for_each(|engine| engine.endless.store(false, Ordering::Relaxed));
        record.line("they answer new requests again");
        at += TROUBLE_INTERVAL;
    }
    record.sleep_until(t + END_AT);
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(log)
}

fn judge(record: &Record, engines: &[Arc<Engine>], machines: &[Arc<Machine>], log: &Log) -> Result<bool, String> {
    let log = log.lock().unwrap();
    let mut ran_at: HashMap<String, Vec<String>> = HashMap::new();
    for engine in engines {
        for run in engine.runs.lock().unwrap().iter() {
            ran_at.entry(run.request.clone()).or_default().push(run.engine.clone());
        }
    }
    let is_sick = |id: &String| engines[..SICK].iter().any(|engine| engine.id == *id);
    let mut lost_somewhere = false;
    for machine in machines {
        let closed = log.iter().filter(|(id, sent)| {
            let engines = ran_at.get(*id);
            let sound = engines.is_some_and(|engines| !engines.iter().any(is_sick));
            sent.to == machine.name && sent.kept && sent.outcome == Outcome::ClosedUnanswered && sound
        });
        let closed: Vec<_> = closed.map(|(id, _)| id.as_str()).collect();
        let cut = log.values().filter(|sent| sent.to == machine.name && sent.outcome == Outcome::Cut).count();
        let kills = machine.memory_kills.load(Ordering::Relaxed);
        record.line(&format!(
            "{}: peak {} MB, ended {kills} times for more than {MEMORY_MB} MB; {} kept channels closed without an answer \
             to a request at a sound engine ({}), {cut} answers cut",
            machine.name, machine.peak_mb(), closed.len(), closed.join(" ")
        ));
        lost_somewhere |= closed.len() > ALLOWED;
    }
    let ended_often = machines.iter().filter(|m| m.memory_kills.load(Ordering::Relaxed) >= 3).count();
    let whole = log.values().filter(|sent| sent.outcome == Outcome::Whole).count();
    record.line(&format!("{} requests, {whole} whole answers; {ended_often} machines whose process ended by itself three times", log.len()));
    if whole < 100 {
        return Err("too few requests were served".to_owned());
    }
    Ok(ended_often >= 2 || lost_somewhere)
}

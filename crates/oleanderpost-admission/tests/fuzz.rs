//! Stateful fuzzing: sequences of requests and faults in any order and combination, from fixed seeds.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count` selects other seeds.

mod support;

use std::time::Duration;

use bolero::{
    TypeGenerator, ValueGenerator,
    generator::{
        bolero_generator::driver::{ByteSliceDriver, Options},
        produce,
    },
};
use oleanderpost_standin::EngineFaults;
use oleanderpost_types::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{Plan, Served, TestFleet, engine_id, vm};
use tokio::{task::JoinHandle, time::sleep};

/// Number of operations per run.
const OPERATIONS: usize = 40;
/// Random bytes available to the generator for one operation.
const BYTES: usize = 32;
/// Number of seeds run by default, as in CI.
const SEEDS: u64 = 24;
/// Tolerance for ending after the time limit; the stand-in engine and the fake link reply within this time.
const LATE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    Short { node: u8 },
    Medium { node: u8, limit: u8 },
    Long { node: u8, limit: u8 },
    Group { node: u8, limit: u8 },
    Burst { node: u8, count: u8 },
    HangUp { request: u8 },
    Kill { node: u8 },
    Start { node: u8 },
    Pause { node: u8 },
    Resume { node: u8 },
    Cut { from: u8, to: u8 },
    Heal,
    Die { engine: u8 },
    Freeze { engine: u8 },
    LoseCancels { engine: u8 },
    Mend { engine: u8 },
    Unreachable { engine: u8 },
    Wait { tenths: u8 },
}

struct Sent {
    limit: Duration,
    node: usize,
    task: JoinHandle<Served>,
}

struct History {
    fleet: TestFleet,
    sent: Vec<Sent>,
    next: u64,
}

impl History {
    fn send(&mut self, node: u8, prompt: u64, limit: Duration) {
        let node = usize::from(node) % self.fleet.plan.nodes;
        let frozen = self.fleet.world.frozen.lock().unwrap().contains(&vm(node));
        if self.fleet.node(node).is_none() || frozen {
            return;
        }
        self.next += 1;
        let req = self
            .fleet
            .request(self.next, prompt, 20 + self.next % 300, limit);
        let task = self.fleet.send(node, req);
        self.sent.push(Sent { limit, node, task });
    }

    /// Aborts the requests sent through a terminated node.
    fn drop_callers(&mut self, node: usize) {
        let (gone, kept) = self.sent.drain(..).partition(|sent| sent.node == node);
        self.sent = kept;
        let gone: Vec<Sent> = gone;
        gone.iter().for_each(|sent| sent.task.abort());
    }

    fn fault(&self, engine: u8, change: impl FnOnce(&mut EngineFaults)) {
        let engine = self
            .fleet
            .world
            .engine(&engine_id(usize::from(engine) % self.fleet.plan.engines));
        let mut faults = engine.faults();
        change(&mut faults);
        engine.set_faults(faults);
    }

    async fn apply(&mut self, operation: Operation) {
        let nodes = self.fleet.plan.nodes;
        let node = |node: u8| usize::from(node) % nodes;
        let seconds = |limit: u8| Duration::from_secs(1 + u64::from(limit) % 90);
        match operation {
            Operation::Short { node } => self.send(node, 2_000, Duration::from_secs(20)),
            Operation::Medium { node, limit } => self.send(node, 40_000, seconds(limit)),
            Operation::Long { node, limit } => self.send(node, 330_000, seconds(limit)),
            Operation::Group { node, limit } => self.send(node, 900_000, seconds(limit)),
            Operation::Burst { node, count } => {
                (0..count % 30).for_each(|_| self.send(node, 8_000, Duration::from_secs(10)));
            }
            Operation::HangUp { request } => {
                if !self.sent.is_empty() {
                    let i = usize::from(request) % self.sent.len();
                    self.sent.swap_remove(i).task.abort();
                }
            }
            Operation::Kill { node: i } => {
                self.fleet.kill(node(i));
                self.drop_callers(node(i));
            }
            Operation::Start { node: i } => {
                if self.fleet.node(node(i)).is_none() {
                    self.fleet.world.frozen.lock().unwrap().remove(&vm(node(i)));
                    self.fleet.start(node(i));
                }
            }
            Operation::Pause { node: i } => self.fleet.pause(node(i)),
            Operation::Resume { node: i } => self.fleet.resume(node(i)),
            Operation::Cut { from, to } => {
                let pair = (vm(node(from)), vm(node(to)));
                self.fleet.world.cut.lock().unwrap().insert(pair);
            }
            Operation::Heal => self.fleet.world.cut.lock().unwrap().clear(),
            Operation::Die { engine } => self.fault(engine, |faults| faults.dead = true),
            Operation::Freeze { engine } => {
                self.fault(engine, |faults| faults.freeze_ms = Some(Millis::new(5_000)))
            }
            Operation::LoseCancels { engine } => {
                self.fault(engine, |faults| faults.lose_cancels = true)
            }
            Operation::Mend { engine } => {
                self.fault(engine, |faults| *faults = EngineFaults::default())
            }
            Operation::Unreachable { engine } => {
                let id = engine_id(usize::from(engine) % self.fleet.plan.engines);
                self.fleet.world.unprobed.lock().unwrap().insert(id);
            }
            Operation::Wait { tenths } => {
                sleep(Duration::from_millis(100) * u32::from(tenths % 100)).await
            }
        }
        sleep(Duration::from_millis(10)).await;
    }

    /// Clears all faults and restarts or resumes all nodes.
    async fn mend(&mut self) {
        self.fleet.world.cut.lock().unwrap().clear();
        self.fleet.world.unprobed.lock().unwrap().clear();
        (0..self.fleet.plan.engines)
            .for_each(|i| self.fault(i as u8, |faults| *faults = EngineFaults::default()));
        for i in 0..self.fleet.plan.nodes {
            self.fleet.resume(i);
            if self.fleet.node(i).is_none() {
                self.fleet.world.frozen.lock().unwrap().remove(&vm(i));
                self.fleet.start(i);
            }
        }
    }

    /// Checks that each request whose caller is still connected ends within its limit.
    async fn check_ends(&mut self, seed: u64) -> (usize, usize) {
        let (mut failed, all) = (0, self.sent.len());
        for sent in self.sent.drain(..) {
            let served = sent.task.await.expect("no request panics");
            failed += usize::from(matches!(served, Served::Failed { .. }));
            let (Served::Whole { total: after, .. }
            | Served::Refused { after, .. }
            | Served::Failed { after }) = served;
            assert!(
                after <= sent.limit + LATE,
                "seed {seed}: {served:?}, limit {:?}",
                sent.limit
            );
        }
        (failed, all)
    }

    /// Checks that no engine holds memory and that no ledger records any.
    fn check_memory(&self, seed: u64) {
        assert_eq!(self.fleet.held(), 0, "seed {seed}: engines hold memory");
        for i in 0..self.fleet.plan.nodes {
            let dump = self.fleet.node(i).expect("all nodes run").dump();
            assert_eq!(
                (dump.permits, dump.waiting),
                (0, 0),
                "seed {seed}: node {i}"
            );
            for engine in dump.engines {
                assert_eq!(engine.held.get(), 0, "seed {seed}: {engine:?}");
                assert_eq!(engine.queued, 0, "seed {seed}: {engine:?}");
            }
        }
    }
}

fn operations(seed: u64) -> Vec<Operation> {
    let mut bytes = vec![0; OPERATIONS * BYTES];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = Options::default();
    let generator = produce::<Operation>();
    let one = |bytes: &[u8]| generator.generate(&mut ByteSliceDriver::new(bytes, &options));
    bytes
        .chunks(BYTES)
        .map(|bytes| one(bytes).expect("an operation"))
        .collect()
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("OLEANDERPOST_FUZZ_SEEDS").unwrap_or_else(|_| format!("0:{SEEDS}"));
    let (start, count) = text.split_once(':').expect("first:count");
    let start: u64 = start.parse().expect("a number");
    start..start + count.parse::<u64>().expect("a number")
}

fn fleet() -> TestFleet {
    TestFleet::new(Plan {
        nodes: 4,
        engines: 5,
        ..Plan::default()
    })
}

#[tokio::test(start_paused = true)]
async fn whatever_fails_memory_returns_and_requests_end_in_time() {
    for seed in seeds() {
        let mut history = History {
            fleet: fleet(),
            sent: Vec::new(),
            next: 0,
        };
        sleep(Duration::from_secs(3)).await;
        for operation in operations(seed) {
            history.apply(operation).await;
        }
        history.mend().await;
        history.check_ends(seed).await;
        sleep(Duration::from_secs(60)).await;
        history.check_memory(seed);
        (0..4).for_each(|i| history.fleet.kill(i));
    }
}

#[tokio::test(start_paused = true)]
async fn without_faults_every_request_is_whole_or_refused_and_no_engine_is_overcommitted() {
    let (mut failed, mut sent) = (0, 0);
    for seed in seeds() {
        let mut history = History {
            fleet: fleet(),
            sent: Vec::new(),
            next: 0,
        };
        sleep(Duration::from_secs(3)).await;
        for operation in operations(seed) {
            let harmless = matches!(
                operation,
                Operation::Short { .. }
                    | Operation::Medium { .. }
                    | Operation::Long { .. }
                    | Operation::Group { .. }
                    | Operation::Burst { .. }
                    | Operation::HangUp { .. }
                    | Operation::Wait { .. }
            );
            if harmless {
                history.apply(operation).await;
            }
        }
        let (late, all) = history.check_ends(seed).await;
        failed += late;
        sent += all;
        sleep(Duration::from_secs(30)).await;
        let wait = history.fleet.longest_wait();
        assert!(
            wait <= 300,
            "seed {seed}: a stream waited {wait} ms in an engine"
        );
        history.check_memory(seed);
        (0..4).for_each(|i| history.fleet.kill(i));
    }
    // Estimates are inexact, especially before the model has observations, so a few requests may time out.
    assert!(failed * 20 <= sent, "{failed} of {sent} failed");
}

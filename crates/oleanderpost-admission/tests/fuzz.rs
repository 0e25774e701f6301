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
use support::{FleetConfig, Outcome, TestFleet, engine_id, vm};
use tokio::{task::JoinHandle, time::sleep};

/// Number of operations per run.
const OPERATIONS: usize = 40;
/// Random bytes available to the generator for one operation.
const BYTES_PER_OPERATION: usize = 32;
/// Number of seeds run by default, as in CI.
const SEEDS: u64 = 24;
/// Tolerance for ending after the time limit; the stand-in engine and the fake link reply within this time.
const END_TOLERANCE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    Short { node: u8 },
    Medium { node: u8, limit: u8 },
    Long { node: u8, limit: u8 },
    Group { node: u8, limit: u8 },
    Burst { node: u8, count: u8 },
    Disconnect { request: u8 },
    Kill { node: u8 },
    Start { node: u8 },
    Pause { node: u8 },
    Resume { node: u8 },
    BlockLink { from: u8, to: u8 },
    UnblockLinks,
    CrashEngine { engine: u8 },
    FreezeEngine { engine: u8 },
    LoseCancels { engine: u8 },
    ClearFaults { engine: u8 },
    BlockEngineCalls { engine: u8 },
    Wait { tenths: u8 },
}

struct SentRequest {
    limit: Duration,
    node: usize,
    task: JoinHandle<Outcome>,
}

struct FuzzRun {
    fleet: TestFleet,
    sent: Vec<SentRequest>,
    request_count: u64,
}

impl FuzzRun {
    fn send(&mut self, node: u8, prompt: u64, limit: Duration) {
        let node = usize::from(node) % self.fleet.config.nodes;
        let paused = self
            .fleet
            .environment
            .paused_nodes
            .lock()
            .unwrap()
            .contains(&vm(node));
        if self.fleet.node(node).is_none() || paused {
            return;
        }
        self.request_count += 1;
        let req = self.fleet.request(
            self.request_count,
            prompt,
            20 + self.request_count % 300,
            limit,
        );
        let task = self.fleet.send(node, req);
        self.sent.push(SentRequest { limit, node, task });
    }

    /// Aborts the requests sent through a terminated node.
    fn abort_requests(&mut self, node: usize) {
        let (aborted, kept) = self.sent.drain(..).partition(|sent| sent.node == node);
        self.sent = kept;
        let aborted: Vec<SentRequest> = aborted;
        aborted.iter().for_each(|sent| sent.task.abort());
    }

    fn change_faults(&self, engine: u8, change: impl FnOnce(&mut EngineFaults)) {
        let engine = self
            .fleet
            .environment
            .engine(&engine_id(usize::from(engine) % self.fleet.config.engines));
        let mut faults = engine.faults();
        change(&mut faults);
        engine.set_faults(faults);
    }

    async fn apply(&mut self, operation: Operation) {
        let nodes = self.fleet.config.nodes;
        let node = |node: u8| usize::from(node) % nodes;
        let time_limit = |limit: u8| Duration::from_secs(1 + u64::from(limit) % 90);
        match operation {
            Operation::Short { node } => self.send(node, 2_000, Duration::from_secs(20)),
            Operation::Medium { node, limit } => self.send(node, 40_000, time_limit(limit)),
            Operation::Long { node, limit } => self.send(node, 330_000, time_limit(limit)),
            Operation::Group { node, limit } => self.send(node, 900_000, time_limit(limit)),
            Operation::Burst { node, count } => {
                (0..count % 30).for_each(|_| self.send(node, 8_000, Duration::from_secs(10)));
            }
            Operation::Disconnect { request } => {
                if !self.sent.is_empty() {
                    let i = usize::from(request) % self.sent.len();
                    self.sent.swap_remove(i).task.abort();
                }
            }
            Operation::Kill { node: i } => {
                self.fleet.kill(node(i));
                self.abort_requests(node(i));
            }
            Operation::Start { node: i } => {
                if self.fleet.node(node(i)).is_none() {
                    self.fleet
                        .environment
                        .paused_nodes
                        .lock()
                        .unwrap()
                        .remove(&vm(node(i)));
                    self.fleet.start(node(i));
                }
            }
            Operation::Pause { node: i } => self.fleet.pause(node(i)),
            Operation::Resume { node: i } => self.fleet.resume(node(i)),
            Operation::BlockLink { from, to } => {
                let pair = (vm(node(from)), vm(node(to)));
                self.fleet
                    .environment
                    .blocked_links
                    .lock()
                    .unwrap()
                    .insert(pair);
            }
            Operation::UnblockLinks => self.fleet.environment.blocked_links.lock().unwrap().clear(),
            Operation::CrashEngine { engine } => {
                self.change_faults(engine, |faults| faults.dead = true)
            }
            Operation::FreezeEngine { engine } => {
                self.change_faults(engine, |faults| faults.freeze_ms = Some(Millis::new(5_000)))
            }
            Operation::LoseCancels { engine } => {
                self.change_faults(engine, |faults| faults.lose_cancels = true)
            }
            Operation::ClearFaults { engine } => {
                self.change_faults(engine, |faults| *faults = EngineFaults::default())
            }
            Operation::BlockEngineCalls { engine } => {
                let id = engine_id(usize::from(engine) % self.fleet.config.engines);
                self.fleet
                    .environment
                    .unreachable_engines
                    .lock()
                    .unwrap()
                    .insert(id);
            }
            Operation::Wait { tenths } => {
                sleep(Duration::from_millis(100) * u32::from(tenths % 100)).await
            }
        }
        sleep(Duration::from_millis(10)).await;
    }

    /// Clears all faults and restarts or resumes all nodes.
    async fn clear_faults(&mut self) {
        self.fleet.environment.blocked_links.lock().unwrap().clear();
        self.fleet
            .environment
            .unreachable_engines
            .lock()
            .unwrap()
            .clear();
        (0..self.fleet.config.engines)
            .for_each(|i| self.change_faults(i as u8, |faults| *faults = EngineFaults::default()));
        for i in 0..self.fleet.config.nodes {
            self.fleet.resume(i);
            if self.fleet.node(i).is_none() {
                self.fleet
                    .environment
                    .paused_nodes
                    .lock()
                    .unwrap()
                    .remove(&vm(i));
                self.fleet.start(i);
            }
        }
    }

    /// Checks that each request whose caller is still connected ends within its limit.
    async fn check_request_ends(&mut self, seed: u64) -> (usize, usize) {
        let (mut failed, all) = (0, self.sent.len());
        for sent in self.sent.drain(..) {
            let served = sent.task.await.expect("no request panics");
            failed += usize::from(matches!(served, Outcome::Failed { .. }));
            let (Outcome::Completed { total: after, .. }
            | Outcome::Refused { after, .. }
            | Outcome::Failed { after }) = served;
            assert!(
                after <= sent.limit + END_TOLERANCE,
                "seed {seed}: {served:?}, limit {:?}",
                sent.limit
            );
        }
        (failed, all)
    }

    /// Checks that no engine holds memory and that no ledger records any.
    fn check_memory(&self, seed: u64) {
        assert_eq!(
            self.fleet.held_memory(),
            0,
            "seed {seed}: engines hold memory"
        );
        for i in 0..self.fleet.config.nodes {
            let dump = self.fleet.node(i).expect("all nodes are running").dump();
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
    let mut bytes = vec![0; OPERATIONS * BYTES_PER_OPERATION];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = Options::default();
    let generator = produce::<Operation>();
    let generate_one =
        |bytes: &[u8]| generator.generate(&mut ByteSliceDriver::new(bytes, &options));
    bytes
        .chunks(BYTES_PER_OPERATION)
        .map(|bytes| generate_one(bytes).expect("operation can be generated"))
        .collect()
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("OLEANDERPOST_FUZZ_SEEDS").unwrap_or_else(|_| format!("0:{SEEDS}"));
    let (start, count) = text.split_once(':').expect("first:count");
    let start: u64 = start.parse().expect("a number");
    start..start + count.parse::<u64>().expect("a number")
}

fn fleet() -> TestFleet {
    TestFleet::new(FleetConfig {
        nodes: 4,
        engines: 5,
        ..FleetConfig::default()
    })
}

#[tokio::test(start_paused = true)]
async fn memory_is_freed_and_requests_end_in_time_under_faults() {
    for seed in seeds() {
        let mut run = FuzzRun {
            fleet: fleet(),
            sent: Vec::new(),
            request_count: 0,
        };
        sleep(Duration::from_secs(3)).await;
        for operation in operations(seed) {
            run.apply(operation).await;
        }
        run.clear_faults().await;
        run.check_request_ends(seed).await;
        sleep(Duration::from_secs(60)).await;
        run.check_memory(seed);
        (0..4).for_each(|i| run.fleet.kill(i));
    }
}

#[tokio::test(start_paused = true)]
async fn without_faults_requests_complete_or_are_refused_and_no_engine_is_overcommitted() {
    let (mut failed, mut sent) = (0, 0);
    for seed in seeds() {
        let mut run = FuzzRun {
            fleet: fleet(),
            sent: Vec::new(),
            request_count: 0,
        };
        sleep(Duration::from_secs(3)).await;
        for operation in operations(seed) {
            let is_request = matches!(
                operation,
                Operation::Short { .. }
                    | Operation::Medium { .. }
                    | Operation::Long { .. }
                    | Operation::Group { .. }
                    | Operation::Burst { .. }
                    | Operation::Disconnect { .. }
                    | Operation::Wait { .. }
            );
            if is_request {
                run.apply(operation).await;
            }
        }
        let (failed_in_run, all) = run.check_request_ends(seed).await;
        failed += failed_in_run;
        sent += all;
        sleep(Duration::from_secs(30)).await;
        let wait = run.fleet.longest_wait_ms();
        assert!(
            wait <= 300,
            "seed {seed}: a stream waited {wait} ms in an engine"
        );
        run.check_memory(seed);
        (0..4).for_each(|i| run.fleet.kill(i));
    }
    // Estimates are inexact, especially before the model has observations, so a few requests may time out.
    assert!(failed * 20 <= sent, "{failed} of {sent} failed");
}

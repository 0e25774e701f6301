//! Stateful fuzzing of whole requests: claims, admission and engines under combined and repeated faults.

mod cluster;

use std::{sync::Arc, time::Duration};

use bolero::{TypeGenerator, ValueGenerator, generator::bolero_generator::driver};
use oleanderpost_standin::EngineFaults;
use oleanderpost_types::{Millis, RequestKey};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::cluster::{Call, Cluster, ENGINES, NODES, Totals, engine_id};

/// Seeds of the default run: first seed and number of seeds.
const DEFAULT_SEEDS: (u64, u64) = (1, 12);
const OPERATIONS: usize = 80;
/// Number of tokens of an answer that takes longer than a history.
const LONG_ANSWER: u64 = 15_000;
/// Time limit that is long enough for such an answer.
const LONG_TIME_LIMIT: Duration = Duration::from_secs(590);
/// Time after the last fault within which all requests must end and all memory must be freed.
const SETTLE_TIME: Duration = Duration::from_secs(90);

/// One operation, decoded from random bytes.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Operation {
    kind: u8,
    target: u8,
    option: u8,
    span: u8,
}

/// A cluster under a sequence of operations.
struct History {
    cluster: Arc<Cluster>,
    keys: Vec<(RequestKey, bool)>,
    /// Fraction of the generated faults that are applied, in eighths.
    fault_eighths: u8,
}

impl History {
    async fn apply(&mut self, op: Operation) {
        let node = usize::from(op.target) % NODES;
        let engine = usize::from(op.target) % ENGINES;
        match op.kind % 32 {
            22.. if op.kind / 32 >= self.fault_eighths => {}
            0..=9 => self.call(node, op),
            10..=13 => self.repeat_call(node, op),
            14..=19 => sleep(Duration::from_millis(u64::from(op.span) * 10)).await,
            20..=21 => sleep(Duration::from_millis(u64::from(op.span) * 60)).await,
            22 => self.cluster.kill(node),
            23..=24 => self.cluster.boot(node),
            25 => self.cluster.set_paused(node, true),
            26 => self.cluster.set_paused(node, false),
            27 => self
                .cluster
                .partition(|number| op.option >> number & 1 == 1),
            28 => self.cluster.heal_network(),
            29 => self
                .cluster
                .set_engine_reachable(engine, op.option & 1 == 0),
            _ => self
                .cluster
                .engine(&engine_id(engine))
                .set_faults(engine_faults(op)),
        }
    }

    fn call(&mut self, node: usize, op: Operation) {
        let idempotent = op.option & 3 == 0;
        let key = self
            .cluster
            .key_now(u64::try_from(self.keys.len()).unwrap());
        self.keys.push((key, idempotent));
        self.cluster.call(node, call(key, idempotent, op));
    }

    /// A caller repeats a recent request whose key must not run twice.
    fn repeat_call(&self, node: usize, op: Operation) {
        let distance_from_last = usize::from(op.option >> 6) + 1;
        let Some(index) = self.keys.len().checked_sub(distance_from_last) else {
            return;
        };
        let (key, idempotent) = self.keys[index];
        if !idempotent {
            self.cluster.call(node, call(key, idempotent, op));
        }
    }

    async fn heal_and_check(&self) {
        self.cluster.heal_network();
        for number in 0..NODES {
            self.cluster.set_paused(number, false);
            if self.cluster.node(&cluster::vm(number)).is_none() {
                self.cluster.boot(number);
            }
        }
        (0..ENGINES).for_each(|number| {
            let engine = self.cluster.engine(&engine_id(number));
            engine.set_faults(EngineFaults::default());
        });
        sleep(SETTLE_TIME).await;
        let not_idempotent = self.keys.iter().filter(|(_, idempotent)| !idempotent);
        not_idempotent.for_each(|(key, _)| self.cluster.oracle.check_once(&self.cluster, *key));
        let held = self.cluster.held_memory();
        if held > 0 {
            self.cluster
                .oracle
                .record_violation(format!("{held} tokens of memory still held"));
        }
    }
}

fn call(key: RequestKey, idempotent: bool, op: Operation) -> Call {
    let prompt = match op.span % 8 {
        0 => 60_000,
        1 => 20_000,
        2..=3 => 6_000,
        _ => 1_000,
    };
    let call = Call {
        key,
        idempotent,
        prompt,
        max_tokens: u64::from(op.span) + 1,
        time_limit: Duration::from_secs(u64::from(op.option >> 3) % 20 + 1),
        account: op.option,
        hang_up_after: None,
    };
    if op.span % 4 != 3 {
        return call;
    }
    // A stream that is still running at the end of the history unless the node cancels it when the caller
    // disconnects.
    Call {
        max_tokens: LONG_ANSWER,
        time_limit: LONG_TIME_LIMIT,
        hang_up_after: Some(Duration::from_millis(u64::from(op.option) * 40 + 100)),
        ..call
    }
}

fn engine_faults(op: Operation) -> EngineFaults {
    EngineFaults {
        dead: op.option & 7 == 1,
        freeze_ms: (op.option & 7 == 2).then(|| Millis::new(u64::from(op.span) * 40)),
        lose_cancels: op.option & 7 == 3,
        report_late_ms: Millis::new(u64::from(op.option >> 4) * 200),
        ..EngineFaults::default()
    }
}

fn seeds() -> (u64, u64) {
    let Ok(text) = std::env::var("OLEANDERPOST_FUZZ_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, count) = text.split_once(':').expect("first:count");
    (
        first.parse().expect("first seed"),
        count.parse().expect("number of seeds"),
    )
}

fn operations(seed: u64) -> Vec<Operation> {
    let mut bytes = vec![0; OPERATIONS * size_of::<Operation>()];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = driver::Options::default();
    let mut driver = driver::ByteSliceDriver::new(&bytes, &options);
    let generator = bolero::generator::produce::<Operation>();
    (0..OPERATIONS)
        .map(|_| generator.generate(&mut driver).expect("an operation"))
        .collect()
}

async fn run_history(seed: u64) -> (Totals, Vec<String>) {
    let mut history = History {
        cluster: Cluster::start().await,
        keys: Vec::new(),
        fault_eighths: u8::try_from(seed % 8).unwrap() + 1,
    };
    for op in operations(seed) {
        history.apply(op).await;
    }
    history.heal_and_check().await;
    let mut totals = history.cluster.oracle.totals();
    totals.histories = 1;
    totals.operations = u64::try_from(OPERATIONS).unwrap();
    (totals, history.cluster.oracle.violations())
}

#[test]
fn whole_requests_keep_their_guarantees() {
    let (first, count) = seeds();
    let mut total = Totals::default();
    let mut violations_by_seed = Vec::new();
    for seed in first..first + count {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let (totals, violations) = runtime.block_on(run_history(seed));
        total.add(&totals);
        violations_by_seed.extend(
            violations
                .into_iter()
                .map(|violation| format!("seed {seed}: {violation}")),
        );
    }
    println!("{total:?}");
    assert!(violations_by_seed.is_empty(), "{violations_by_seed:#?}");
    assert!(total.whole > 0 && total.not_run > 0 && total.failed > 0 && total.unknown > 0);
}

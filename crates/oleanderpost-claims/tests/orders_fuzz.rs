//! Stateful fuzzing of orders: nodes that have different configurations, pause and take over engines from
//! each other, and engines that honour or ignore fencing numbers. At the end all engines must hold the newest
//! configuration.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count` runs other seeds than the default ones.

mod engines;

use std::{sync::Arc, time::Duration};

use bolero::{TypeGenerator, ValueGenerator, generator::bolero_generator::driver};
use oleanderpost_claims::{OrderLimits, ServiceTarget};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::engines::{Engines, LOAD_TIME, OrderingNode, service};

/// Seeds of the default run: first seed and number of seeds.
const DEFAULT_SEEDS: (u64, u64) = (1, 60);
const OPERATIONS: usize = 60;
const NODES: usize = 3;
const ENGINES: usize = 8;
/// Time after the end of all faults within which the engines must reach the newest configuration.
const CONVERGENCE_TIME: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Operation {
    /// Operators publish the next configuration.
    Publish {
        percent: u8,
        next_version: bool,
    },
    /// A node accepts the newest published configuration.
    Accept {
        node: u8,
    },
    /// The configuration of a node is no longer confirmed.
    LoseConfirmation {
        node: u8,
    },
    Pause {
        node: u8,
    },
    Resume {
        node: u8,
    },
    /// Another node becomes responsible for an engine; the previous one may not be notified.
    Reassign {
        engine: u8,
        node: u8,
        old_owner_is_notified: bool,
    },
    Wait {
        tenths: u8,
    },
    AlsoWait {
        tenths: u8,
    },
}

/// Nodes, engines and the published configurations.
struct Fleet {
    engines: Arc<Engines>,
    nodes: Vec<OrderingNode>,
    published: Vec<ServiceTarget>,
    accepted: [usize; NODES],
    unconfirmed: [bool; NODES],
    /// For each engine, the nodes that consider themselves responsible.
    owners: [[bool; NODES]; ENGINES],
}

impl Fleet {
    fn new(honours_fencing: bool) -> Self {
        let engines = Engines::new(ENGINES, honours_fencing);
        let limits = OrderLimits {
            max_concurrent_loads: ENGINES,
            loads_per_second: 100.0,
            ..OrderLimits::default()
        };
        let nodes = (0..NODES)
            .map(|number| OrderingNode::new(number, &engines, limits))
            .collect();
        let mut owners = [[false; NODES]; ENGINES];
        (0..ENGINES).for_each(|engine| owners[engine][engine % NODES] = true);
        Self {
            engines,
            nodes,
            published: vec![service(ENGINES, 1, 0)],
            accepted: [0; NODES],
            unconfirmed: [false; NODES],
            owners,
        }
    }

    /// Confirms the configurations of all nodes except those in `unconfirmed`.
    fn confirm(&self) {
        for (number, node) in self
            .nodes
            .iter()
            .enumerate()
            .filter(|(number, _)| !self.unconfirmed[*number])
        {
            let accepted = self.accepted[number];
            let generation = u64::try_from(accepted).unwrap() + 1;
            let is_owned = |name: &str| {
                let engine: usize = name.trim_start_matches("engine-").parse().unwrap();
                self.owners[engine][number]
            };
            node.accept(generation, &self.published[accepted], |target| {
                is_owned(target.engine.as_str())
            });
        }
    }

    async fn advance(&self, span: Duration) {
        let step = Duration::from_millis(500);
        for _ in 0..span.as_millis().div_ceil(step.as_millis()) {
            self.confirm();
            sleep(step).await;
        }
    }

    async fn apply(&mut self, op: Operation) {
        match op {
            Operation::Publish {
                percent,
                next_version,
            } => {
                let last = self.published.last().unwrap().model.version;
                let version = last + u64::from(next_version);
                self.published
                    .push(service(ENGINES, version, percent % 101));
            }
            Operation::Accept { node } => {
                let node = usize::from(node) % NODES;
                self.accepted[node] = self.published.len() - 1;
                self.unconfirmed[node] = false;
            }
            Operation::LoseConfirmation { node } => {
                self.unconfirmed[usize::from(node) % NODES] = true
            }
            Operation::Pause { node } => self.set_paused(usize::from(node) % NODES, true),
            Operation::Resume { node } => self.set_paused(usize::from(node) % NODES, false),
            Operation::Reassign {
                engine,
                node,
                old_owner_is_notified,
            } => {
                let owners = &mut self.owners[usize::from(engine) % ENGINES];
                if old_owner_is_notified {
                    *owners = [false; NODES];
                }
                owners[usize::from(node) % NODES] = true;
            }
            Operation::Wait { tenths } | Operation::AlsoWait { tenths } => {
                self.advance(Duration::from_millis(u64::from(tenths) * 100))
                    .await;
            }
        }
    }

    fn set_paused(&self, node: usize, paused: bool) {
        self.engines.set_paused(&self.nodes[node].vm, paused);
    }

    /// Ends all faults and waits until the engines must have converged.
    async fn heal(&mut self) {
        self.unconfirmed = [false; NODES];
        self.accepted = [self.published.len() - 1; NODES];
        (0..NODES).for_each(|node| self.set_paused(node, false));
        self.advance(CONVERGENCE_TIME + 2 * LOAD_TIME).await;
    }

    fn check(&self, seed: u64, operations: &[Operation]) {
        for target in self.published.last().unwrap().engine_targets() {
            let state = self.engines.state(&target.engine);
            assert!(
                target.is_held_by(&state) && !state.loading,
                "seed {seed}: {} holds {state:?}, not {target:?}, after {operations:?}",
                target.engine
            );
        }
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
    let mut bytes = vec![0; OPERATIONS * 16];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let options = driver::Options::default();
    let mut driver = driver::ByteSliceDriver::new(&bytes, &options);
    let generator = bolero::generator::produce::<Operation>();
    (0..OPERATIONS)
        .map(|_| generator.generate(&mut driver).expect("an operation"))
        .collect()
}

async fn run_operations(seed: u64, operations: &[Operation]) -> usize {
    let mut fleet = Fleet::new(seed.is_multiple_of(2));
    for op in operations {
        fleet.apply(*op).await;
    }
    fleet.heal().await;
    fleet.check(seed, operations);
    fleet.engines.orders.lock().unwrap().len()
}

#[test]
fn engines_converge_to_the_newest_configuration() {
    let (first, count) = seeds();
    let mut orders = 0;
    for seed in first..first + count {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        orders += runtime.block_on(run_operations(seed, &operations(seed)));
    }
    println!("{count} histories of {OPERATIONS} operations, {orders} orders accepted");
    assert!(orders > 0);
}

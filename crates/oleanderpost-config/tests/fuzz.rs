//! Stateful fuzzing: concurrent operations and faults, checked against an oracle that records everything
//! that was written.

mod support;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use bolero::TypeGenerator;
use oleanderpost_bench::Fleet;
use oleanderpost_config::{Check, ContentHash, Version};
use oleanderpost_types::FileName;
use tokio::time::{Instant, sleep};

const NODES: u8 = 7;
const DATA_CENTRES: u8 = 3;
const FILES: [&str; 2] = ["base", "fleet"];
/// Time within which a healed fleet must agree.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of the whole fleet.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    /// An operator writes a higher generation, another content of the same generation, or an older one.
    Write {
        #[generator(0u8..2)]
        file: u8,
        step: GenerationStep,
        form: ContentForm,
    },
    /// Two operators write the same generation concurrently.
    Race {
        #[generator(0u8..2)]
        file: u8,
    },
    Delete {
        #[generator(0u8..2)]
        file: u8,
    },
    Remove {
        #[generator(0u8..2)]
        file: u8,
    },
    PlatformDown {
        hangs: bool,
    },
    PlatformUp,
    Freeze {
        #[generator(0u8..3)]
        replica: u8,
        frozen: bool,
    },
    Partition {
        #[generator(bolero::generator::produce::<[u8; 7]>())]
        parts: [u8; 7],
    },
    HealNetwork,
    Quality {
        #[generator(0u8..4)]
        tenths_lost: u8,
        #[generator(0u8..4)]
        tenths_duplicated: u8,
        #[generator(1u16..800)]
        delay_ms: u16,
    },
    Silence {
        #[generator(0u8..7)]
        node: u8,
        silent: bool,
    },
    Kill {
        #[generator(0u8..7)]
        node: u8,
    },
    Start {
        #[generator(0u8..7)]
        node: u8,
    },
    Wait {
        #[generator(1u16..15_000)]
        ms: u16,
    },
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum GenerationStep {
    Next,
    NextButOne,
    Same,
    Older,
}

/// Form of a written content. Three variants are valid, so that half of the contents are.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum ContentForm {
    Valid,
    Valid2,
    Valid3,
    UnknownField,
    NotYaml,
    NewerFormat,
}

#[derive(Clone, Debug, TypeGenerator)]
struct Case {
    #[generator(bolero::generator::produce::<Vec<Op>>().with().len(10usize..40))]
    ops: Vec<Op>,
}

/// Records everything that was written and the versions in force on each node.
struct Oracle {
    fleet: Fleet,
    written: [u64; 2],
    variant: u64,
    valid: HashSet<ContentHash>,
    in_force: HashMap<(u8, usize), Version>,
    is_network_reliable: bool,
}

impl Oracle {
    fn new(seed: u64) -> Self {
        let fleet = Fleet::builder(NODES.into(), DATA_CENTRES.into())
            .with_seed(seed)
            .build();
        Self {
            fleet,
            written: [0; 2],
            variant: 0,
            valid: HashSet::new(),
            in_force: HashMap::new(),
            is_network_reliable: true,
        }
    }

    fn name(file: usize) -> FileName {
        FILES[file].parse().expect("a name")
    }

    fn write(&mut self, file: u8, generation: u64, form: ContentForm) {
        self.variant += 1;
        let variant = self.variant;
        let text = match form {
            ContentForm::Valid | ContentForm::Valid2 | ContentForm::Valid3 => {
                format!("generation: {generation}\n# {variant}\n")
            }
            ContentForm::UnknownField => format!("generation: {generation}\nextra: {variant}\n"),
            ContentForm::NotYaml => format!("[ {variant}"),
            ContentForm::NewerFormat => {
                format!("format: 9\ngeneration: {generation}\n# {variant}\n")
            }
        };
        self.put(file, &text);
    }

    fn put(&mut self, file: u8, text: &str) {
        if Check::new(text.as_bytes()).file().is_some() {
            self.valid.insert(ContentHash::of_content(text.as_bytes()));
        }
        self.fleet
            .platform()
            .write(&Self::name(file.into()), Some(text));
    }

    fn next_generation(&mut self, file: u8, step: u64) -> u64 {
        let written = &mut self.written[usize::from(file)];
        *written += step;
        *written
    }

    async fn apply(&mut self, op: &Op) {
        match *op {
            Op::Write { file, step, form } => {
                let generation = match step {
                    GenerationStep::Next => self.next_generation(file, 1),
                    GenerationStep::NextButOne => self.next_generation(file, 2),
                    GenerationStep::Same => self.next_generation(file, 0),
                    GenerationStep::Older => self.next_generation(file, 0).saturating_sub(1),
                };
                self.write(file, generation, form);
            }
            Op::Race { file } => {
                let generation = self.next_generation(file, 1);
                self.write(file, generation, ContentForm::Valid);
                self.write(file, generation, ContentForm::Valid);
            }
            Op::Delete { file } => {
                let generation = self.next_generation(file, 1);
                self.put(file, &format!("generation: {generation}\ndeleted: true\n"));
            }
            Op::Remove { file } => {
                self.fleet.platform().write(&Self::name(file.into()), None);
            }
            Op::PlatformDown { hangs } => self.fleet.platform().set_down(true, hangs),
            Op::PlatformUp => self.fleet.platform().set_down(false, false),
            Op::Freeze { replica, frozen } => {
                self.fleet.platform().set_frozen(replica.into(), frozen);
            }
            Op::Partition { parts } => self.partition(parts),
            Op::HealNetwork => {
                self.fleet.network().clear_faults();
                self.is_network_reliable = true;
            }
            Op::Quality {
                tenths_lost,
                tenths_duplicated,
                delay_ms,
            } => {
                let (lost, duplicated) = (f64::from(tenths_lost), f64::from(tenths_duplicated));
                let delay = (1, delay_ms.into());
                self.fleet
                    .network()
                    .set_quality(lost / 10.0, duplicated / 10.0, delay);
                self.is_network_reliable = false;
            }
            Op::Silence { node, silent } => {
                let vm = self.fleet.vm(node.into()).clone();
                self.fleet.network().set_silent(&vm, silent);
            }
            Op::Kill { node } => {
                self.fleet.kill(node.into()).await;
                self.in_force.retain(|(n, _), _| *n != node);
            }
            Op::Start { node } => self.start(node).await,
            Op::Wait { ms } => self.check_for(Duration::from_millis(ms.into())).await,
        }
    }

    fn partition(&self, parts: [u8; 7]) {
        let parts = parts
            .iter()
            .enumerate()
            .map(|(i, part)| (self.fleet.vm(i).clone(), part % 3));
        self.fleet
            .network()
            .partition(parts.collect::<BTreeMap<_, _>>());
    }

    /// Starts a node. Once ready, it must hold at least the lowest version that its reachable peers held when
    /// it started.
    async fn start(&mut self, node: u8) {
        if self.fleet.node(node.into()).is_some() {
            return;
        }
        let reached = self.reachable_peers(node);
        let lower_bound = |file: usize| {
            let held = reached
                .iter()
                .map(|i| self.fleet.in_force(*i, &Self::name(file)));
            held.min().flatten()
        };
        let lower_bounds = [lower_bound(0), lower_bound(1)];
        self.fleet.start(node.into());
        let mut ready = self.fleet.node(node.into()).expect("the node runs").ready();
        let is_ready = async { ready.wait_for(|ready| *ready).await.is_ok() };
        let is_ready = tokio::time::timeout(Duration::from_secs(10), is_ready).await;
        if is_ready.is_err() || !self.is_network_reliable {
            return;
        }
        for (file, lower_bound) in lower_bounds.into_iter().enumerate() {
            let held = self.fleet.in_force(node.into(), &Self::name(file));
            assert!(
                held >= lower_bound,
                "node {node} is ready with {held:?}, its peers hold {lower_bound:?}"
            );
        }
    }

    fn reachable_peers(&self, node: u8) -> Vec<usize> {
        let vm = self.fleet.vm(node.into());
        let others = (0..self.fleet.len()).filter(|i| *i != usize::from(node));
        let reached = self.fleet.network().reachable_from(vm);
        others
            .filter(|i| reached.contains(self.fleet.vm(*i)))
            .collect()
    }

    async fn check_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            sleep(CHECK_INTERVAL).await;
            self.check_versions_in_force();
        }
    }

    /// Checks that no version in force is older than before and that each one is a valid content that was
    /// written.
    fn check_versions_in_force(&mut self) {
        for node in 0..NODES {
            for file in 0..FILES.len() {
                let Some(version) = self.fleet.in_force(node.into(), &Self::name(file)) else {
                    let before = self.in_force.get(&(node, file));
                    assert_eq!(before, None, "node {node} lost file {file}");
                    continue;
                };
                assert!(
                    self.valid.contains(&version.hash),
                    "node {node}: {version} was never valid"
                );
                let before = self.in_force.insert((node, file), version);
                assert!(
                    before <= Some(version),
                    "node {node} went from {before:?} to {version}"
                );
            }
        }
    }

    /// Checks that, without faults, all nodes agree on a version at least as high as any that a node held.
    async fn check_agreement(&mut self) {
        self.check_versions_in_force();
        let newest = |file: usize| {
            let held = (0..self.fleet.len()).map(|i| self.fleet.in_force(i, &Self::name(file)));
            held.max().flatten()
        };
        let newest = [newest(0), newest(1)];
        self.fleet.network().clear_faults();
        self.fleet.platform().clear_faults();
        self.fleet.start_all();
        self.check_for(AGREEMENT_TIMEOUT).await;
        let first = self.fleet.node(0).expect("the node runs").status().files;
        for node in self.fleet.running() {
            let state = |files: &[oleanderpost_config::FileStatus]| -> Vec<_> {
                let fields = files
                    .iter()
                    .map(|f| (f.name.clone(), f.accepted, f.conflict, f.seen));
                fields.collect()
            };
            let status = node.status();
            assert!(status.ready, "{} is not ready", status.vm);
            assert_eq!(
                state(&status.files),
                state(&first),
                "{} differs from vm-000",
                status.vm
            );
        }
        for (file, newest) in newest.into_iter().enumerate() {
            let held = self.fleet.in_force(0, &Self::name(file));
            assert!(
                held >= newest,
                "{held:?} in force, {newest:?} was held before"
            );
            self.check_platform_content(file, held);
        }
        assert!(self.fleet.platform().peak_reads() <= 200);
    }

    /// Checks that the content on the platform is in force, unless it is invalid or older.
    fn check_platform_content(&self, file: usize, held: Option<Version>) {
        let last_change = self.fleet.platform().last_change(&Self::name(file));
        let Some(text) = last_change
            .as_ref()
            .and_then(|entry| entry.content.as_ref())
        else {
            return;
        };
        let check = Check::new(text.as_bytes());
        if let Some(accepted) = check.file() {
            let held = held.expect("a version").generation;
            assert!(
                held >= accepted.generation,
                "{held} in force, the platform has {}",
                accepted.generation
            );
        }
    }
}

/// Runs one case; returns the number of its operations.
async fn run(seed: u64) -> usize {
    let case: Case = support::value(seed);
    let mut oracle = Oracle::new(seed);
    oracle.fleet.start_all();
    for op in &case.ops {
        oracle.apply(op).await;
        oracle.check_versions_in_force();
    }
    oracle.check_agreement().await;
    oracle.fleet.close().await;
    case.ops.len()
}

#[test]
fn versions_in_force_never_revert_and_healed_fleets_agree() {
    let mut operations = 0;
    for seed in support::seeds(60) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build();
        let runtime = runtime.expect("a runtime");
        let run_case = std::panic::AssertUnwindSafe(|| runtime.block_on(run(seed)));
        match std::panic::catch_unwind(run_case) {
            Ok(count) => operations += count,
            Err(panic) => {
                let case: Case = support::value(seed);
                eprintln!("seed {seed}: {:#?}", case.ops);
                std::panic::resume_unwind(panic);
            }
        }
    }
    println!("{operations} operations");
}

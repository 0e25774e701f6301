//! A test cluster: nodes with real `Admission` and `Claims`, stand-in engines, and a network with faults.

mod call;
mod links;
mod oracle;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use oleanderpost_admission::{Admission, Settings};
use oleanderpost_claims::{Claims, ClaimsBuilder, Limits, WallClock};
use oleanderpost_standin::{Engine, EngineSettings};
use oleanderpost_types::{
    DataCentre, Incarnation, Millis, RequestKey, Revision, Tokens, UpstreamId, Vm, VmId, VmList,
    VmRole, VmState,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use uuid::Uuid;

use crate::cluster::links::Links;
pub(crate) use crate::cluster::{
    call::Call,
    oracle::{Oracle, Totals},
};

pub(crate) const NODES: usize = 5;
pub(crate) const ENGINES: usize = 4;
/// Memory of one engine, in tokens.
const MEMORY: u64 = 40_000;
/// Wall-clock time at the start of a test, in milliseconds.
const START_MS: u64 = 1_700_000_000_000;

/// Wall clock that follows the paused test time.
struct TestClock {
    start: Instant,
}

impl WallClock for TestClock {
    fn now_ms(&self) -> u64 {
        START_MS + u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }
}

pub(crate) fn vm(number: usize) -> VmId {
    VmId::new(&format!("entry-{number}")).unwrap()
}

pub(crate) fn engine_id(number: usize) -> UpstreamId {
    UpstreamId::new(&format!("engine-{number}")).unwrap()
}

pub(crate) fn data_centre(number: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", number % 3)).unwrap()
}

/// One process on an entry VM.
pub(crate) struct Node {
    pub(crate) vm: VmId,
    pub(crate) admission: Admission,
    pub(crate) claims: Arc<Claims>,
}

/// A running node and its tasks.
struct Process {
    node: Arc<Node>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The nodes, the engines and the state of the simulated network.
pub(crate) struct Cluster {
    pub(crate) oracle: Arc<Oracle>,
    start: Instant,
    engines: Vec<Engine>,
    processes: Mutex<BTreeMap<VmId, Process>>,
    cut: Mutex<BTreeSet<(VmId, VmId)>>,
    paused: Mutex<BTreeSet<VmId>>,
    resumed_at: Mutex<BTreeMap<VmId, Instant>>,
    unreachable_engines: Mutex<BTreeSet<UpstreamId>>,
    incarnations: Mutex<u64>,
}

impl Cluster {
    /// Starts all nodes and waits until claims can be granted.
    pub(crate) async fn start() -> Arc<Self> {
        let cluster = Arc::new(Self {
            oracle: Arc::default(),
            start: Instant::now(),
            engines: (0..ENGINES).map(engine).collect(),
            processes: Mutex::default(),
            cut: Mutex::default(),
            paused: Mutex::default(),
            resumed_at: Mutex::default(),
            unreachable_engines: Mutex::default(),
            incarnations: Mutex::default(),
        });
        (0..NODES).for_each(|number| cluster.boot(number));
        sleep(2 * Limits::default().lookback).await;
        cluster
    }

    /// Starts a process on a VM, replacing a running one.
    pub(crate) fn boot(self: &Arc<Self>, number: usize) {
        self.kill(number);
        let links = Arc::new(Links::new(number, Arc::clone(self)));
        let admission = Admission::builder()
            .with_directory(links.clone())
            .with_client(links.clone())
            .with_probe(links.clone())
            .with_settings(Settings::default())
            .with_seed(u64::try_from(number).unwrap())
            .build(vm(number), data_centre(number))
            .unwrap();
        let clock = TestClock { start: self.start };
        let builder = ClaimsBuilder::new(vm(number), self.next_incarnation(), links);
        let claims = Arc::new(builder.with_wall_clock(Arc::new(clock)).build());
        claims.observe(&vm_list());
        let node = Arc::new(Node {
            vm: vm(number),
            admission: admission.clone(),
            claims: Arc::clone(&claims),
        });
        let tasks = vec![
            tokio::spawn(async move { admission.run().await }),
            tokio::spawn(async move { claims.run().await }),
        ];
        self.paused.lock().unwrap().remove(&vm(number));
        self.processes
            .lock()
            .unwrap()
            .insert(vm(number), Process { node, tasks });
    }

    fn next_incarnation(&self) -> Incarnation {
        let mut last = self.incarnations.lock().unwrap();
        *last += 1;
        Incarnation::new(*last)
    }

    /// Kills a process and all its requests.
    pub(crate) fn kill(&self, number: usize) {
        let process = self.processes.lock().unwrap().remove(&vm(number));
        drop(process);
    }

    pub(crate) fn node(&self, vm: &VmId) -> Option<Arc<Node>> {
        let processes = self.processes.lock().unwrap();
        processes.get(vm).map(|process| Arc::clone(&process.node))
    }

    /// Sends a request to a node; it is aborted if the node's process is killed.
    pub(crate) fn call(self: &Arc<Self>, number: usize, call: Call) {
        let mut processes = self.processes.lock().unwrap();
        let Some(process) = processes.get_mut(&vm(number)) else {
            return;
        };
        let served = call.serve(Arc::clone(self), Arc::clone(&process.node));
        process.tasks.push(tokio::spawn(served));
    }

    pub(crate) fn engine(&self, id: &UpstreamId) -> &Engine {
        let found = self
            .engines
            .iter()
            .find(|engine| engine.settings().id == *id);
        found.unwrap()
    }

    pub(crate) fn set_paused(&self, number: usize, paused: bool) {
        let mut all = self.paused.lock().unwrap();
        if paused {
            all.insert(vm(number));
        } else if all.remove(&vm(number)) {
            self.resumed_at
                .lock()
                .unwrap()
                .insert(vm(number), Instant::now());
        }
    }

    /// Time by which a node has exceeded `deadline`, counted from its last resumption if that was later.
    pub(crate) fn lateness(&self, vm: &VmId, deadline: Instant) -> Duration {
        let resumed_at = self.resumed_at.lock().unwrap().get(vm).copied();
        let effective_deadline = resumed_at.map_or(deadline, |resumed_at| resumed_at.max(deadline));
        Instant::now().saturating_duration_since(effective_deadline)
    }

    /// Waits until the process on a VM is not paused.
    pub(crate) async fn wait_while_paused(&self, vm: &VmId) {
        while self.paused.lock().unwrap().contains(vm) {
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Partitions the network between the nodes `inside` and all others.
    pub(crate) fn partition(&self, inside: impl Fn(usize) -> bool) {
        let mut cut = self.cut.lock().unwrap();
        for a in (0..NODES).filter(|number| inside(*number)) {
            for b in (0..NODES).filter(|number| !inside(*number)) {
                cut.insert((vm(a), vm(b)));
                cut.insert((vm(b), vm(a)));
            }
        }
    }

    /// Makes an engine unreachable for the probes of all nodes, or reachable again.
    pub(crate) fn set_engine_reachable(&self, engine: usize, reachable: bool) {
        let mut unreachable_engines = self.unreachable_engines.lock().unwrap();
        if reachable {
            unreachable_engines.remove(&engine_id(engine));
        } else {
            unreachable_engines.insert(engine_id(engine));
        }
    }

    pub(crate) fn heal_network(&self) {
        self.cut.lock().unwrap().clear();
        self.unreachable_engines.lock().unwrap().clear();
    }

    /// Creates a key that is issued now.
    pub(crate) fn key_now(&self, random: u64) -> RequestKey {
        let ms = TestClock { start: self.start }.now_ms();
        RequestKey::from_uuid(Uuid::from_u64_pair(ms << 16 | 0x7000, 1 << 63 | random))
    }

    /// Memory held by requests on all engines, in tokens.
    pub(crate) fn held_memory(&self) -> u64 {
        self.engines
            .iter()
            .map(|engine| engine.evidence().held.get())
            .sum()
    }

    /// Number of runs of a key on all engines.
    pub(crate) fn run_count(&self, key: RequestKey) -> usize {
        let runs_of_key = |engine: &Engine| {
            engine
                .evidence()
                .runs
                .iter()
                .filter(|run| run.key == key)
                .count()
        };
        self.engines.iter().map(runs_of_key).sum()
    }
}

fn engine(number: usize) -> Engine {
    Engine::new(EngineSettings {
        id: engine_id(number),
        memory: Tokens::new(MEMORY),
        time_scale: 1.0,
        // Long enough that no engine frees a stream without a reader; the nodes must cancel it.
        resume_window_ms: Millis::new(3_600_000),
        retain_ms: Millis::new(1_000),
        ..EngineSettings::default()
    })
}

fn vm_list() -> VmList {
    let vms = (0..NODES).map(|number| Vm {
        id: vm(number),
        role: VmRole::Entry,
        state: VmState::Live,
        data_centre: data_centre(number),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: Incarnation::new(1),
    });
    VmList {
        revision: Revision::new(1),
        vms: vms.collect(),
    }
}

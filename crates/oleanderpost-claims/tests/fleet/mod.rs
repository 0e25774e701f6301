//! A test fleet: nodes with real `Claims`, a platform that publishes its VM list with a delay, and a network
//! with faults.

#![allow(dead_code)]

mod network;
mod platform;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::Duration,
};

use oleanderpost_claims::{Claims, ClaimsBuilder, Limits, WallClock};
use oleanderpost_types::{Incarnation, RequestKey, VmId};
use tokio::{task::JoinHandle, time::Instant};
use uuid::Uuid;

pub(crate) use crate::fleet::{
    network::{Link, Network},
    platform::Platform,
};

/// Wall-clock time at the start of a test, in milliseconds.
const START_MS: u64 = 1_700_000_000_000;
/// Interval at which the nodes read the platform's VM list.
const LIST_PERIOD: Duration = Duration::from_millis(250);

/// Wall clock that follows the paused test time, with a fixed error.
struct TestClock {
    start: Instant,
    error_ms: Arc<AtomicI64>,
}

impl WallClock for TestClock {
    fn now_ms(&self) -> u64 {
        let since = u64::try_from(self.start.elapsed().as_millis()).unwrap();
        (START_MS + since).saturating_add_signed(self.error_ms.load(Ordering::Relaxed))
    }
}

/// Key issued `offset_ms` after the start of the test; keys of the same time differ in `random`.
pub(crate) fn key_at(offset_ms: i64, random: u64) -> RequestKey {
    let ms = START_MS.saturating_add_signed(offset_ms);
    let mut bytes = [0; 16];
    bytes[..6].copy_from_slice(&ms.to_be_bytes()[2..]);
    bytes[8..].copy_from_slice(&random.to_be_bytes());
    bytes[6] = 0x70;
    bytes[8] = 0x80 | (bytes[8] & 0x3f);
    RequestKey::from_uuid(Uuid::from_bytes(bytes))
}

pub(crate) fn vm_name(number: usize) -> VmId {
    VmId::new(&format!("entry-{number}")).unwrap()
}

/// One process on a VM.
struct Process {
    claims: Arc<Claims>,
    task: JoinHandle<()>,
    error_ms: Arc<AtomicI64>,
    /// Index of the platform's list that the process read last.
    list_index: usize,
    /// Whether the process reads its lists from a replica that receives no updates.
    list_frozen: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A fleet of nodes and its platform.
pub(crate) struct Fleet {
    pub(crate) network: Arc<Network>,
    pub(crate) limits: Limits,
    pub(crate) platform: Platform,
    pub(crate) start: Instant,
    processes: BTreeMap<VmId, Process>,
    incarnations: u64,
}

impl Fleet {
    /// Starts `nodes` nodes in three data centres and waits until they have confirmed the VM list to each
    /// other.
    pub(crate) async fn with_nodes(nodes: usize, limits: Limits) -> Self {
        let mut fleet = Self {
            network: Arc::new(Network::default()),
            limits,
            platform: Platform::default(),
            processes: BTreeMap::new(),
            start: Instant::now(),
            incarnations: 0,
        };
        fleet.platform.publish_first(nodes);
        (0..nodes).for_each(|number| fleet.boot(number, 0));
        fleet.advance(2 * limits.lookback).await;
        fleet
    }

    /// Starts a process on a VM, replacing a running one. Its wall clock is wrong by `error_ms` milliseconds.
    pub(crate) fn boot(&mut self, number: usize, error_ms: i64) {
        let list_index = self.platform.lists.len() - 1;
        self.boot_with_list(number, error_ms, list_index, false);
    }

    /// Like [`Self::boot`], with list number `list_index` as the first list; later lists are not delivered if
    /// `list_frozen`.
    pub(crate) fn boot_with_list(
        &mut self,
        number: usize,
        error_ms: i64,
        list_index: usize,
        list_frozen: bool,
    ) {
        let vm = vm_name(number);
        self.kill(number);
        self.incarnations += 1;
        let link = Arc::new(Link {
            from: vm.clone(),
            network: Arc::clone(&self.network),
        });
        let start = self.start;
        let error_ms = Arc::new(AtomicI64::new(error_ms));
        let clock = Arc::new(TestClock {
            start,
            error_ms: Arc::clone(&error_ms),
        });
        let builder = ClaimsBuilder::new(vm.clone(), Incarnation::new(self.incarnations), link);
        let builder = builder.with_limits(self.limits).with_wall_clock(clock);
        let claims = Arc::new(builder.build());
        claims.observe(&self.platform.lists[list_index].list);
        let runner = Arc::clone(&claims);
        self.network.attach(&vm, &claims);
        let process = Process {
            claims,
            task: tokio::spawn(async move { runner.run().await }),
            error_ms,
            list_index,
            list_frozen,
        };
        self.processes.insert(vm, process);
    }

    /// Kills the process on a VM.
    pub(crate) fn kill(&mut self, number: usize) {
        let vm = vm_name(number);
        self.network.detach(&vm);
        self.processes.remove(&vm);
    }

    /// Sets the error of a node's wall clock.
    pub(crate) fn set_clock_error(&self, number: usize, error_ms: i64) {
        let process = &self.processes[&vm_name(number)];
        process.error_ms.store(error_ms, Ordering::Relaxed);
    }

    pub(crate) fn is_running(&self, number: usize) -> bool {
        self.processes.contains_key(&vm_name(number))
    }

    /// Stops or resumes the delivery of lists to a node. If resumed with `skip_to_newest`, the node misses
    /// the revisions in between.
    pub(crate) fn set_list_frozen(
        &mut self,
        number: usize,
        list_frozen: bool,
        skip_to_newest: bool,
    ) {
        let newest = self.platform.lists.len() - 1;
        let Some(process) = self.processes.get_mut(&vm_name(number)) else {
            return;
        };
        process.list_frozen = list_frozen;
        if skip_to_newest && !list_frozen && process.list_index < newest {
            process.list_index = newest;
            process.claims.observe(&self.platform.lists[newest].list);
        }
    }

    pub(crate) fn node(&self, number: usize) -> Arc<Claims> {
        Arc::clone(&self.processes[&vm_name(number)].claims)
    }

    /// Advances time by `span`; the nodes receive the lists that become visible to them.
    pub(crate) async fn advance(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let step = LIST_PERIOD.min(until - Instant::now());
            tokio::time::sleep(step).await;
            self.deliver_lists();
        }
    }

    fn deliver_lists(&mut self) {
        for (vm, process) in &mut self.processes {
            while !process.list_frozen && self.platform.is_visible_to(vm, process.list_index + 1) {
                process.list_index += 1;
                process
                    .claims
                    .observe(&self.platform.lists[process.list_index].list);
            }
        }
    }

    /// Time since the start in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> i64 {
        i64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    /// Key issued now by an exact clock.
    pub(crate) fn key_now(&self, random: u64) -> RequestKey {
        key_at(self.elapsed_ms(), random)
    }

    /// Partitions the network between the nodes `inside` and all others.
    pub(crate) fn partition(&self, inside: impl Fn(usize) -> bool, nodes: usize) {
        for a in (0..nodes).filter(|number| inside(*number)) {
            for b in (0..nodes).filter(|number| !inside(*number)) {
                self.network.cut(&vm_name(a), &vm_name(b));
                self.network.cut(&vm_name(b), &vm_name(a));
            }
        }
    }
}

/// A deadline that is late enough for a claim without faults.
pub(crate) fn deadline_in_5_s() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

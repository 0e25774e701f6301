//! One random sequence of operations on a fleet, and the oracle that checks its results.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bolero::TypeGenerator;
use oleanderpost_claims::{ClaimEnd, Claims, Limits, Refusal};
use oleanderpost_types::{Outcome, RequestKey};
use tokio::time::Instant;

use crate::fleet::{Fleet, Network, key_at, vm_name};

/// Maximum number of VMs over a whole history.
const MAX_VMS: usize = 24;
/// Number of nodes at the start of a history.
const FIRST_NODES: usize = 7;

/// One operation, decoded from random bytes.
#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(crate) struct Operation {
    kind: u8,
    target: u8,
    option: u8,
    span: u8,
}

/// Event counts of one or more histories.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) histories: u64,
    pub(crate) operations: u64,
    pub(crate) keys: u64,
    pub(crate) attempts: u64,
    pub(crate) runs: u64,
    pub(crate) refused: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, other: &Self) {
        self.histories += other.histories;
        self.operations += other.operations;
        self.keys += other.keys;
        self.attempts += other.attempts;
        self.runs += other.runs;
        self.refused += other.refused;
    }
}

/// Counts the runs of each key and checks the outcomes reported to callers.
#[derive(Default)]
struct Oracle {
    runs: BTreeMap<RequestKey, u32>,
    totals: Totals,
}

impl Oracle {
    fn record_run(&mut self, key: RequestKey) {
        self.totals.runs += 1;
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{key} ran twice");
    }

    fn record_refusal(&mut self, key: RequestKey, refusal: &Refusal) {
        self.totals.refused += 1;
        let ran = self.runs.contains_key(&key);
        let reported = refusal.outcome();
        assert!(
            reported != Outcome::NotRun || !ran,
            "{key}: reported {reported}, but it ran"
        );
    }
}

/// A fleet, its callers and the oracle.
pub(crate) struct History {
    fleet: Fleet,
    oracle: Arc<Mutex<Oracle>>,
    keys: Vec<RequestKey>,
    next_vm: usize,
    /// Fraction of the generated faults that are applied, in eighths.
    fault_eighths: u8,
}

impl History {
    /// Runs the operations; panics if the oracle finds a violation.
    pub(crate) async fn run_operations(seed: u64, operations: &[Operation]) -> Totals {
        let limits = Limits {
            key_window: Duration::from_secs(60),
            ..Limits::default()
        };
        let mut history = Self {
            fleet: Fleet::with_nodes(FIRST_NODES, limits).await,
            oracle: Arc::default(),
            keys: Vec::new(),
            next_vm: FIRST_NODES,
            fault_eighths: u8::try_from(seed % 8).unwrap() + 1,
        };
        for (step, op) in operations.iter().enumerate() {
            history.apply(*op).await;
            let violated = history.oracle.is_poisoned();
            assert!(
                !violated,
                "seed {seed}: violation at step {step}: {:?}",
                &operations[..=step]
            );
        }
        history.clear_faults().await;
        assert!(
            !history.oracle.is_poisoned(),
            "seed {seed}: violation after the last step"
        );
        let mut oracle = history.oracle.lock().unwrap();
        let mut totals = std::mem::take(&mut oracle.totals);
        totals.histories = 1;
        totals.operations = u64::try_from(operations.len()).unwrap();
        totals.keys = u64::try_from(history.keys.len()).unwrap();
        totals
    }

    async fn clear_faults(&mut self) {
        (0..MAX_VMS).for_each(|number| self.fleet.network.set_paused(&vm_name(number), false));
        self.fleet.network.heal();
        self.fleet.advance(Duration::from_secs(20)).await;
    }

    async fn apply(&mut self, op: Operation) {
        let number = usize::from(op.target) % self.next_vm;
        let span = Duration::from_millis(u64::from(op.span) * 20);
        match op.kind % 32 {
            21.. if op.kind / 32 >= self.fault_eighths => {}
            0..=9 => self.attempt(number, op),
            10..=13 => self.issue(op),
            14..=18 => self.fleet.advance(span).await,
            19..=20 => self.fleet.advance(span * 8).await,
            21 => self.replace(number),
            22 => self.remove(number),
            23 => self.add(op),
            24 => self.restart(number, op),
            25 => self.partition(op),
            26 => self.fleet.network.heal(),
            27 => self.fleet.set_list_frozen(number, true, false),
            28 => self
                .fleet
                .set_list_frozen(number, false, op.option & 1 == 1),
            29 => self
                .fleet
                .network
                .set_paused(&vm_name(number), op.option & 1 == 1),
            30 => self.degrade(op),
            _ => (0..MAX_VMS).for_each(|vm| self.fleet.network.set_paused(&vm_name(vm), false)),
        }
    }

    /// A caller issues a key. The caller's clock may be wrong by up to 12 s.
    fn issue(&mut self, op: Operation) {
        let error_ms = match op.option % 4 {
            0 => (i64::from(op.span) - 128) * 94,
            _ => 0,
        };
        let random = u64::try_from(self.keys.len()).unwrap();
        let key = key_at(
            self.fleet.elapsed_ms() + error_ms,
            random << 8 | u64::from(op.target),
        );
        self.keys.push(key);
    }

    /// A caller sends a request with one of its most recent keys to a node.
    fn attempt(&mut self, number: usize, op: Operation) {
        let recent = self
            .keys
            .len()
            .saturating_sub(usize::from(op.option % 4) + 1);
        let Some(key) = self.keys.get(recent).copied() else {
            return;
        };
        if !self.fleet.is_running(number) {
            return;
        }
        self.oracle.lock().unwrap().totals.attempts += 1;
        let attempt = Attempt {
            number,
            key,
            claims: self.fleet.node(number),
            network: Arc::clone(&self.fleet.network),
            oracle: Arc::clone(&self.oracle),
        };
        tokio::spawn(attempt.run(op));
    }

    /// A VM is removed and another one is added.
    fn replace(&mut self, number: usize) {
        self.fleet.kill(number);
        if self.fleet.platform.is_listed(number) {
            self.fleet.platform.remove(number);
        }
        self.add_vm(0, 0);
    }

    /// A VM is removed from the list; its process may still run.
    fn remove(&mut self, number: usize) {
        if self.fleet.platform.is_listed(number) {
            self.fleet.platform.remove(number);
        }
    }

    fn add(&mut self, op: Operation) {
        let error_ms = (i64::from(op.span) - 128) * 3;
        self.add_vm(error_ms, usize::from(op.option % 4));
    }

    fn add_vm(&mut self, error_ms: i64, revisions_behind: usize) {
        if self.next_vm == MAX_VMS {
            return;
        }
        let number = self.next_vm;
        self.next_vm += 1;
        self.fleet.platform.add(number);
        let list_index = self.fleet.platform.lists.len() - 1;
        self.fleet.boot_with_list(
            number,
            error_ms,
            list_index.saturating_sub(revisions_behind),
            revisions_behind == 3,
        );
    }

    /// A process restarts on its VM, possibly with an old list.
    fn restart(&mut self, number: usize, op: Operation) {
        let error_ms = (i64::from(op.span) - 128) * 3;
        let newest = self.fleet.platform.lists.len() - 1;
        let list_index = newest.saturating_sub(usize::from(op.option % 8));
        self.fleet
            .boot_with_list(number, error_ms, list_index, op.option & 16 == 16);
    }

    fn partition(&self, op: Operation) {
        let mask = u32::from(op.option) << 8 | u32::from(op.span) | u32::from(op.target) << 16;
        self.fleet
            .partition(|number| mask >> number & 1 == 1, MAX_VMS);
    }

    fn degrade(&self, op: Operation) {
        let delay = Duration::from_millis(u64::from(op.span) * 8);
        let loss = f64::from(op.option % 4) / 10.0;
        self.fleet.network.set_delay_and_loss(delay, loss);
    }
}

/// One request of a caller to one node.
struct Attempt {
    number: usize,
    key: RequestKey,
    claims: Arc<Claims>,
    network: Arc<Network>,
    oracle: Arc<Mutex<Oracle>>,
}

impl Attempt {
    async fn run(self, op: Operation) {
        let deadline = Instant::now() + Duration::from_secs(8);
        let claim = match self.claims.claim(self.key, deadline).await {
            Ok(claim) => claim,
            Err(refusal) => {
                self.oracle
                    .lock()
                    .unwrap()
                    .record_refusal(self.key, &refusal);
                return;
            }
        };
        let work = Duration::from_millis(u64::from(op.span & 0x3f) * 20);
        tokio::time::sleep(work).await;
        self.network.wait_while_paused(&vm_name(self.number)).await;
        if let Err(refusal) = claim.check_deadline() {
            self.oracle
                .lock()
                .unwrap()
                .record_refusal(self.key, &refusal);
            claim.close(ClaimEnd::NotRun).await;
            return;
        }
        if op.option & 0x30 == 0x30 {
            claim.close(ClaimEnd::NotRun).await;
            return;
        }
        self.oracle.lock().unwrap().record_run(self.key);
        claim.close(ClaimEnd::Dispatched).await;
    }
}

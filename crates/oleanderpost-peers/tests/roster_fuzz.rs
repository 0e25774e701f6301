//! Stateful fuzzing of rosters: random changes and faults, checked against all lists that the platform
//! published.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count` replaces the fixed seeds.

mod support;

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use bolero::TypeGenerator;
use oleanderpost_peers::RosterTimings;
use oleanderpost_types::{Incarnation, Revision, Vm, VmId, VmList, VmRole, VmState};
use support::{
    fleet::{Fleet, Member, entry, set_state, upstream},
    fuzz,
};
use tokio::time::{Instant, sleep};

const NODES: usize = 9;
const UPSTREAMS: usize = 5;
const OPERATIONS: usize = 60;

#[derive(Clone, Debug, TypeGenerator)]
enum Operation {
    Join(u8),
    Remove(u8),
    Leaving(u8),
    Live(u8),
    Replace(u8),
    Skip,
    Stale(bool),
    Down(bool),
    Partition(u8),
    Heal,
    Kill(u8),
    Start(u8),
    Mark(u8, u8),
    Leave(u8),
    WaitMillis(u8),
    WaitSeconds(u8),
}

/// What was checked of each process: the number of its lists, and the VMs that it reported as leaving.
#[derive(Default)]
struct Oracle {
    checked: BTreeMap<(VmId, u64), usize>,
    leaving: HashSet<(VmId, u64, VmId, Incarnation)>,
    was_stale: bool,
}

fn vm_by_number(number: u8) -> VmId {
    let number = usize::from(number) % (NODES + UPSTREAMS);
    if number < NODES {
        entry(number).id
    } else {
        upstream(number - NODES).id
    }
}

fn with_vm(vms: &mut [Vm], number: u8, change: impl FnOnce(&mut Vm)) {
    let id = vm_by_number(number);
    if let Some(vm) = vms.iter_mut().find(|vm| vm.id == id) {
        change(vm);
    }
}

async fn apply(fleet: &mut Fleet, oracle: &mut Oracle, operation: &Operation) {
    match *operation {
        Operation::Join(n) => {
            let number = NODES + usize::from(n) % 20;
            fleet.platform.publish(1, |vms| {
                let vm = upstream(number);
                if vms.iter().all(|known| known.id != vm.id) {
                    vms.push(vm);
                }
            });
        }
        Operation::Remove(n) => {
            let id = vm_by_number(n);
            fleet.platform.publish(1, |vms| {
                vms.retain(|vm| vm.role == VmRole::Entry || vm.id != id)
            });
        }
        Operation::Leaving(n) => {
            fleet
                .platform
                .publish(1, |vms| with_vm(vms, n, |vm| vm.state = VmState::Leaving));
        }
        Operation::Live(n) => {
            fleet
                .platform
                .publish(1, |vms| with_vm(vms, n, |vm| vm.state = VmState::Live));
        }
        Operation::Replace(n) => {
            fleet.platform.publish(1, |vms| {
                with_vm(vms, n, |vm| {
                    vm.incarnation = Incarnation::new(vm.incarnation.get() + 1);
                    vm.state = VmState::Live;
                });
            });
        }
        Operation::Skip => {
            fleet
                .platform
                .publish(2, |vms| set_state(vms, &entry(0).id, VmState::Live));
        }
        Operation::Stale(enabled) => {
            oracle.was_stale |= enabled;
            *fleet.platform.stale_by.lock().unwrap() = usize::from(enabled) * 2;
        }
        Operation::Down(enabled) => *fleet.platform.down.lock().unwrap() = enabled,
        Operation::Partition(mask) => fleet.partition(|number| mask >> (number % 8) & 1 == 1),
        Operation::Heal => fleet.heal(),
        Operation::Kill(n) if fleet.members.len() > 3 => fleet.stop(usize::from(n) % NODES),
        Operation::Start(n) => fleet.start(usize::from(n) % NODES),
        Operation::Mark(n, vm) => {
            let index = usize::from(n) % fleet.members.len();
            let _ = fleet.members[index].roster.mark_leaving(&vm_by_number(vm));
        }
        Operation::Leave(n) => {
            let index = usize::from(n) % fleet.members.len();
            fleet.members[index].roster.leave();
        }
        Operation::WaitMillis(n) => sleep(Duration::from_millis(n.into())).await,
        Operation::WaitSeconds(n) => sleep(Duration::from_secs(u64::from(n % 32))).await,
        Operation::Kill(_) => {}
    }
    sleep(Duration::from_millis(1)).await;
}

fn sorted(mut list: VmList) -> VmList {
    list.vms.sort_by(|a, b| a.id.cmp(&b.id));
    list
}

impl Oracle {
    fn check(&mut self, fleet: &Fleet) {
        for member in &fleet.members {
            self.check_lists(fleet, member);
            self.check_leaving(member);
            self.check_freshness(fleet, member);
            check_listed_since(member);
        }
    }

    fn check_lists(&mut self, fleet: &Fleet, member: &Member) {
        let applied_lists = member.recorder.0.lock().unwrap();
        let from = self
            .checked
            .insert(process(member), applied_lists.len())
            .unwrap_or(0);
        for list in &applied_lists[from..] {
            let published = fleet
                .platform
                .list_at(list.revision)
                .expect("a list that the platform published");
            assert_eq!(**list, sorted(published), "the platform's list, unchanged");
        }
        let is_increasing = applied_lists
            .windows(2)
            .all(|pair| pair[0].revision < pair[1].revision);
        assert!(is_increasing, "no list reverts");
        let held = applied_lists
            .last()
            .map_or(Revision::new(0), |list| list.revision);
        assert_eq!(
            member.roster.view().revision,
            held,
            "observers receive the list held"
        );
    }

    fn check_leaving(&mut self, member: &Member) {
        let (name, number) = process(member);
        for vm in &member.roster.list().vms {
            let key = (name.clone(), number, vm.id.clone(), vm.incarnation);
            let leaving = member.roster.is_leaving(&vm.id);
            if vm.role == VmRole::Upstream && self.leaving.contains(&key) {
                assert!(leaving, "{name} reports {} as live again", vm.id);
            }
            assert!(
                leaving || vm.state == VmState::Live,
                "{} is leaving by the list",
                vm.id
            );
            if leaving {
                self.leaving.insert(key);
            }
        }
    }

    fn check_freshness(&self, fleet: &Fleet, member: &Member) {
        let view = member.roster.view();
        let Some(as_of) = view.as_of else {
            return;
        };
        assert!(as_of <= Instant::now());
        let newest = fleet.platform.revision_at(as_of);
        assert!(
            self.was_stale || newest <= view.revision,
            "{newest} was published before the time of the view"
        );
    }
}

/// Checks that `listed_since` is not in the future, and that it is not before `unbroken_since` for a VM that
/// is new in the newest list.
fn check_listed_since(member: &Member) {
    let applied_lists = member.recorder.0.lock().unwrap();
    let list = member.roster.list();
    for vm in &list.vms {
        let since = member.roster.listed_since(&vm.id).unwrap();
        let held = applied_lists.iter().rev().take_while(|list| {
            let found = list.vms.iter().find(|known| known.id == vm.id);
            found.is_some_and(|known| known.incarnation == vm.incarnation)
        });
        let held: Vec<_> = held.map(|list| list.revision.get()).collect();
        let unbroken = held
            .windows(2)
            .take_while(|pair| pair[0] == pair[1] + 1)
            .count()
            + 1;
        let first = held[unbroken.min(held.len()) - 1];
        assert!(since <= Instant::now(), "{}", vm.id);
        if list.revision.get() == first {
            assert!(
                since >= member.roster.view().unbroken_since,
                "{} is new in {first}",
                vm.id
            );
        }
    }
}

/// Identifies a running process by its VM and incarnation.
fn process(member: &Member) -> (VmId, u64) {
    (member.vm.clone(), member.incarnation)
}

async fn settle(fleet: &mut Fleet) {
    fleet.heal();
    *fleet.platform.down.lock().unwrap() = false;
    *fleet.platform.stale_by.lock().unwrap() = 0;
    fleet.platform.publish(1, |_| {});
    let took = fleet.wait_converged(Duration::from_secs(120)).await;
    assert!(took.is_some(), "all nodes receive the newest list");
    sleep(Duration::from_secs(120)).await;
}

fn check_agreement(fleet: &Fleet) {
    let list = fleet.platform.newest();
    for vm in &list.vms {
        let views: HashSet<_> = fleet
            .members
            .iter()
            .map(|m| m.roster.is_leaving(&vm.id))
            .collect();
        assert_eq!(views.len(), 1, "all agree on {}", vm.id);
    }
    let live = fleet.running_vms();
    for member in &fleet.members {
        for other in live.iter().filter(|other| **other != member.vm) {
            let usable = member.roster.is_usable(other);
            assert_eq!(
                usable,
                !member.roster.is_leaving(other),
                "{} of {other}",
                member.vm
            );
        }
    }
}

async fn run_seed(seed: u64) {
    let mut fleet = Fleet::new(NODES, UPSTREAMS, RosterTimings::default());
    let mut oracle = Oracle::default();
    for operation in fuzz::generate_operations::<Operation>(seed, OPERATIONS) {
        apply(&mut fleet, &mut oracle, &operation).await;
        oracle.check(&fleet);
    }
    settle(&mut fleet).await;
    oracle.check(&fleet);
    check_agreement(&fleet);
}

#[test]
fn lists_never_revert_and_marks_persist() {
    for seed in fuzz::seeds_or(1..41) {
        println!("seed {seed}");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run_seed(seed));
    }
}

//! [`LeavingMarks`]: all leaving marks that a node knows.

use std::{collections::BTreeMap, time::Duration};

use oleanderpost_types::{Incarnation, VmId, VmList};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{LeavingMark, MarkScope, frame::encode};

/// Maximum number of marks kept; a mark beyond it replaces the one learned first.
const MAX_MARKS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct MarkEntry {
    incarnation: Incarnation,
    leaving: bool,
    learned_at: Instant,
}

/// The newest mark of each VM and process: the one with the greatest incarnation, and of equal incarnations
/// the one that is leaving. Merging is commutative and idempotent.
#[derive(Debug, Default)]
pub(crate) struct LeavingMarks {
    entries: BTreeMap<(VmId, MarkScope), MarkEntry>,
}

impl LeavingMarks {
    /// Merges a mark; returns whether it was new.
    pub(crate) fn merge(&mut self, mark: &LeavingMark) -> bool {
        let key = (mark.vm.clone(), mark.scope);
        let known = self.entries.get(&key);
        if known.is_some_and(|entry| {
            (entry.incarnation, entry.leaving) >= (mark.incarnation, mark.leaving)
        }) {
            return false;
        }
        if known.is_none() && self.entries.len() >= MAX_MARKS {
            self.evict_oldest();
        }
        let entry = MarkEntry {
            incarnation: mark.incarnation,
            leaving: mark.leaving,
            learned_at: Instant::now(),
        };
        self.entries.insert(key, entry);
        true
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.learned_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.entries.remove(&key);
        }
    }

    /// Whether this incarnation of the VM, or the node's process on it, is leaving.
    pub(crate) fn is_leaving(&self, vm: &VmId, incarnation: Incarnation) -> bool {
        let vm_mark = self.entries.get(&(vm.clone(), MarkScope::Vm));
        let process_mark = self.entries.get(&(vm.clone(), MarkScope::Process));
        vm_mark.is_some_and(|entry| entry.leaving && entry.incarnation >= incarnation)
            || process_mark.is_some_and(|entry| entry.leaving)
    }

    /// Removes marks of VMs that the list has in a later incarnation, and marks older than `retention` of VMs
    /// that are not in the list.
    pub(crate) fn prune(&mut self, list: &VmList, retention: Duration) {
        self.entries.retain(|(vm, scope), entry| {
            entry.is_listed(list, vm, *scope)
                || (listed_incarnation(list, vm).is_none()
                    && entry.learned_at.elapsed() < retention)
        });
    }

    /// All marks of VMs in the list; only those learned within `max_age` if it is given.
    pub(crate) fn marks_in_list(
        &self,
        list: &VmList,
        max_age: Option<Duration>,
    ) -> Vec<LeavingMark> {
        let listed = self
            .entries
            .iter()
            .filter(|((vm, scope), entry)| entry.is_listed(list, vm, *scope));
        let recent =
            listed.filter(|(_, entry)| max_age.is_none_or(|age| entry.learned_at.elapsed() < age));
        recent
            .map(|((vm, scope), entry)| entry.leaving_mark(vm, *scope))
            .collect()
    }

    /// Digest of the marks of VMs in the list; it does not depend on the order in which they were learned.
    pub(crate) fn digest(&self, list: &VmList) -> u64 {
        let marks = self.marks_in_list(list, None);
        let hashes = marks
            .iter()
            .map(|mark| encode(mark).map_or(0, |buf| xxh3_64(&buf)));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// All marks.
    pub(crate) fn all(&self) -> Vec<LeavingMark> {
        self.entries
            .iter()
            .map(|((vm, scope), entry)| entry.leaving_mark(vm, *scope))
            .collect()
    }
}

impl MarkEntry {
    /// Whether the list has the VM, in no later incarnation than that of the mark. For a mark of a process,
    /// the incarnation is not compared.
    fn is_listed(&self, list: &VmList, vm: &VmId, scope: MarkScope) -> bool {
        listed_incarnation(list, vm).is_some_and(|incarnation| {
            scope == MarkScope::Process || self.incarnation >= incarnation
        })
    }

    fn leaving_mark(&self, vm: &VmId, scope: MarkScope) -> LeavingMark {
        LeavingMark {
            vm: vm.clone(),
            scope,
            incarnation: self.incarnation,
            leaving: self.leaving,
        }
    }
}

fn listed_incarnation(list: &VmList, vm: &VmId) -> Option<Incarnation> {
    let index = list.vms.binary_search_by(|known| known.id.cmp(vm)).ok()?;
    Some(list.vms[index].incarnation)
}

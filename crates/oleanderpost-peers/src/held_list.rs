//! [`HeldList`]: the VM list that a node holds, and its recent changes.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use oleanderpost_types::{Revision, Vm, VmId, VmList};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{ListStep, frame::encode};

/// Maximum number of changes kept for peers.
const MAX_STEPS: usize = 64;
/// Maximum number of VMs in all kept changes together.
const MAX_STEP_VMS: usize = 4_096;

/// A VM list sorted by name, the most recent changes to it, and when it was last confirmed.
#[derive(Debug)]
pub(crate) struct HeldList {
    list: Arc<VmList>,
    digest: u64,
    steps: VecDeque<ListStep>,
    step_vms: usize,
    /// Time since which each VM has been in the list without interruption, in the order of the list.
    listed_since: Vec<Instant>,
    /// Time since which no revision was skipped.
    unbroken_since: Instant,
    skipped: bool,
    confirmed_at: Option<Instant>,
    /// When the list was last confirmed or replaced.
    last_update: Instant,
}

/// Result of applying a list or changes.
#[derive(Debug)]
pub(crate) enum ApplyOutcome {
    /// They were applied; all resulting lists, oldest first.
    Newer(Vec<Arc<VmList>>),
    /// They are no newer than the list held.
    NotNewer,
    /// They do not apply to the list held: the whole list is needed.
    Mismatch,
}

impl HeldList {
    pub(crate) fn new() -> Self {
        Self {
            list: Arc::default(),
            digest: 0,
            steps: VecDeque::new(),
            step_vms: 0,
            listed_since: Vec::new(),
            unbroken_since: Instant::now(),
            skipped: false,
            confirmed_at: None,
            last_update: Instant::now(),
        }
    }

    pub(crate) fn list(&self) -> &Arc<VmList> {
        &self.list
    }

    pub(crate) fn revision(&self) -> Revision {
        self.list.revision
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn skipped(&self) -> bool {
        self.skipped
    }

    pub(crate) fn unbroken_since(&self) -> Instant {
        self.unbroken_since
    }

    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// The VM with this name.
    pub(crate) fn find(&self, vm: &VmId) -> Option<&Vm> {
        let index = position(&self.list.vms, vm).ok()?;
        self.list.vms.get(index)
    }

    /// Time since which the VM, with its current incarnation, has been in every list and no revision was
    /// skipped.
    pub(crate) fn listed_since(&self, vm: &VmId) -> Option<Instant> {
        let index = position(&self.list.vms, vm).ok()?;
        self.listed_since
            .get(index)
            .map(|since| (*since).max(self.unbroken_since))
    }

    /// Records that the platform had no list newer than `revision` at the time `at`.
    pub(crate) fn confirm(&mut self, revision: Revision, at: Instant) {
        if revision == self.revision() && revision > Revision::new(0) {
            self.confirmed_at = self.confirmed_at.max(Some(at));
            self.last_update = self.last_update.max(at);
        }
    }

    /// Time since the list was last confirmed or replaced.
    pub(crate) fn time_since_update(&self) -> Duration {
        self.last_update.elapsed()
    }

    /// Marks the list as not confirmed.
    pub(crate) fn clear_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Applies a whole list if it is newer.
    pub(crate) fn apply_list(&mut self, mut list: VmList) -> ApplyOutcome {
        if list.revision <= self.revision() {
            return ApplyOutcome::NotNewer;
        }
        list.vms.sort_by(|a, b| a.id.cmp(&b.id));
        list.vms.dedup_by(|a, b| a.id == b.id);
        let step = diff(&self.list, &list);
        self.replace(list, step);
        ApplyOutcome::Newer(vec![Arc::clone(&self.list)])
    }

    /// Applies changes; the resulting list must have the digest `digest`.
    pub(crate) fn apply_steps(&mut self, steps: &[ListStep], digest: u64) -> ApplyOutcome {
        let newer: Vec<_> = steps
            .iter()
            .filter(|step| step.to > self.revision())
            .collect();
        let Some(first) = newer.first() else {
            return ApplyOutcome::NotNewer;
        };
        if first.from > self.revision() || self.revision() == Revision::new(0) {
            return ApplyOutcome::Mismatch;
        }
        let mut lists = Vec::new();
        let mut list = VmList::clone(&self.list);
        for step in newer {
            apply_step(&mut list, step);
            lists.push(list.clone());
        }
        if list_digest(&list.vms) != digest {
            return ApplyOutcome::Mismatch;
        }
        let mut applied = Vec::new();
        for list in lists {
            let step = diff(&self.list, &list);
            self.replace(list, step);
            applied.push(Arc::clone(&self.list));
        }
        ApplyOutcome::Newer(applied)
    }

    /// Changes from revision `after`, or an earlier one, to the list held; `None` when they are not kept.
    pub(crate) fn steps_after(&self, after: Revision) -> Option<Vec<ListStep>> {
        let first = self.steps.iter().position(|step| step.to > after)?;
        let steps: Vec<_> = self.steps.iter().skip(first).cloned().collect();
        (steps[0].from <= after && after > Revision::new(0)).then_some(steps)
    }

    fn replace(&mut self, list: VmList, step: ListStep) {
        let now = Instant::now();
        self.skipped = list.revision.get() > self.revision().get() + 1 && self.revision().get() > 0;
        if self.skipped || self.revision().get() == 0 {
            self.unbroken_since = now;
        }
        let old_since = std::mem::take(&mut self.listed_since);
        self.listed_since = list
            .vms
            .iter()
            .map(|vm| self.unchanged_since(&old_since, vm).unwrap_or(now))
            .collect();
        self.digest = list_digest(&list.vms);
        self.list = Arc::new(list);
        self.confirmed_at = None;
        self.last_update = now;
        self.store_step(step);
    }

    fn unchanged_since(&self, since: &[Instant], vm: &Vm) -> Option<Instant> {
        let index = position(&self.list.vms, &vm.id).ok()?;
        let same_incarnation = self.list.vms[index].incarnation == vm.incarnation;
        same_incarnation.then(|| since[index])
    }

    fn store_step(&mut self, step: ListStep) {
        self.step_vms += step.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS
            || (self.step_vms > MAX_STEP_VMS && !self.steps.is_empty())
        {
            let dropped = self.steps.pop_front();
            self.step_vms -= dropped.map_or(0, |step| step.len());
        }
    }
}

impl ListStep {
    fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }
}

fn position(vms: &[Vm], vm: &VmId) -> Result<usize, usize> {
    vms.binary_search_by(|known| known.id.cmp(vm))
}

fn diff(old: &VmList, new: &VmList) -> ListStep {
    let is_new_or_changed =
        |vm: &&Vm| position(&old.vms, &vm.id).map_or(true, |index| old.vms[index] != **vm);
    let is_gone = |vm: &&Vm| position(&new.vms, &vm.id).is_err();
    ListStep {
        from: old.revision,
        to: new.revision,
        changed: new.vms.iter().filter(is_new_or_changed).cloned().collect(),
        removed: old
            .vms
            .iter()
            .filter(is_gone)
            .map(|vm| vm.id.clone())
            .collect(),
    }
}

fn apply_step(list: &mut VmList, step: &ListStep) {
    list.revision = step.to;
    for vm in &step.changed {
        match position(&list.vms, &vm.id) {
            Ok(index) => list.vms[index] = vm.clone(),
            Err(index) => list.vms.insert(index, vm.clone()),
        }
    }
    for id in &step.removed {
        if let Ok(index) = position(&list.vms, id) {
            list.vms.remove(index);
        }
    }
}

fn list_digest(vms: &[Vm]) -> u64 {
    let hashes = vms
        .iter()
        .map(|vm| encode(vm).map_or(0, |buf| xxh3_64(&buf)));
    hashes.fold(0, |digest, hash| digest ^ hash)
}

//! [`VmStore`].

use std::time::Duration;

use tokio::time::Instant;

use oleanderpost_types::{Revision, Vm, VmId, VmList};

/// The VM list with its complete history.
#[derive(Debug)]
pub(crate) struct VmStore {
    lists: Vec<(Instant, VmList)>,
}

impl VmStore {
    pub(crate) fn new() -> Self {
        let lists = vec![(Instant::now(), VmList::default())];
        Self { lists }
    }

    pub(crate) fn put(&mut self, vm: Vm) -> Revision {
        self.add_revision(|vms| {
            vms.retain(|other| other.id != vm.id);
            vms.push(vm);
        })
    }

    pub(crate) fn remove(&mut self, id: &VmId) -> Revision {
        self.add_revision(|vms| vms.retain(|other| other.id != *id))
    }

    /// Returns the newest list that is at least `lag` old and whose revision is not in `skipped`.
    pub(crate) fn visible_list(&self, lag: Duration, skipped: &[Revision]) -> &VmList {
        let now = Instant::now();
        let visible =
            |(at, list): &&(Instant, VmList)| *at + lag <= now && !skipped.contains(&list.revision);
        let newest = self.lists.iter().rev().find(visible);
        &newest.unwrap_or(&self.lists[0]).1
    }

    /// Returns the time at which the next list becomes visible.
    pub(crate) fn next_visible(&self, lag: Duration) -> Option<Instant> {
        let now = Instant::now();
        let due = self.lists.iter().map(|(at, _)| *at + lag);
        due.filter(|at| *at > now).min()
    }

    fn add_revision(&mut self, change: impl FnOnce(&mut Vec<Vm>)) -> Revision {
        let (_, last) = self.lists.last().expect("the first list is never removed");
        let mut list = last.clone();
        list.revision = Revision::new(list.revision.get() + 1);
        change(&mut list.vms);
        list.vms.sort_by(|a, b| a.id.cmp(&b.id));
        let revision = list.revision;
        self.lists.push((Instant::now(), list));
        revision
    }
}

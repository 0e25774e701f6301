//! [`ListHistory`].

use std::{collections::VecDeque, sync::Arc, time::Duration};

use oleanderpost_types::{RequestKey, Revision, VmId, VmList, VmRole};
use tokio::time::Instant;

use crate::{
    list_sizes::ListSizes,
    witness_set::{self, Node},
};

/// Maximum number of different lists kept.
const MAX_LISTS: usize = 256;

/// Consecutive revisions of the VM list that have the same entry VMs.
struct HeldList {
    first_revision: Revision,
    last_revision: Revision,
    held_since: Instant,
    after_gap: bool,
    nodes: Arc<[Node]>,
}

/// Range of revisions throughout which a node was responsible for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Responsibility {
    /// Oldest revision.
    pub(crate) oldest: Revision,
    /// Newest revision, the current one.
    pub(crate) newest: Revision,
    /// Greatest size of the key's witness set in these revisions.
    pub(crate) max_witnesses: usize,
}

/// VM lists that this process has held, newest last, and since when it held each.
#[derive(Default)]
pub(crate) struct ListHistory {
    lists: VecDeque<HeldList>,
    own_sizes: ListSizes,
    peer_sizes: ListSizes,
}

impl ListHistory {
    /// Applies a list unless it is not newer than the current one; returns whether revisions were skipped.
    pub(crate) fn observe(&mut self, list: &VmList) -> bool {
        let now = Instant::now();
        let nodes = entry_nodes(list);
        let mut after_gap = true;
        if let Some(held) = self.lists.back_mut() {
            if list.revision <= held.last_revision {
                return false;
            }
            after_gap = list.revision.get() > held.last_revision.get() + 1;
            if !after_gap && *held.nodes == *nodes {
                held.last_revision = list.revision;
                return false;
            }
            self.own_sizes.record(held.nodes.len());
        }
        let skipped = after_gap && !self.lists.is_empty();
        self.lists.push_back(HeldList {
            first_revision: list.revision,
            last_revision: list.revision,
            held_since: now,
            after_gap,
            nodes: nodes.into(),
        });
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
        skipped
    }

    /// Revision of the current list.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.lists.back().map(|held| held.last_revision)
    }

    /// Entry VMs of the current list, ordered by name.
    pub(crate) fn nodes(&self) -> Arc<[Node]> {
        let nodes = self.lists.back().map(|held| Arc::clone(&held.nodes));
        nodes.unwrap_or_default()
    }

    /// Number of different lists kept.
    pub(crate) fn len(&self) -> usize {
        self.lists.len()
    }

    /// Greatest number of entry VMs in any list that this process has held at `since` or later.
    pub(crate) fn own_max_size(&self, since: Instant) -> usize {
        let held = self.lists.back().map_or(0, |held| held.nodes.len());
        self.own_sizes.max_since(since).max(held)
    }

    /// Greatest number of entry VMs in any list that this process has held, or a peer has reported, at
    /// `since` or later.
    pub(crate) fn max_size(&self, since: Instant) -> usize {
        self.own_max_size(since)
            .max(self.peer_sizes.max_since(since))
    }

    /// Records the number of entry VMs in the largest list that a peer reported.
    pub(crate) fn record_peer_size(&mut self, size: usize) {
        self.peer_sizes.record(size);
    }

    /// Number of entry VMs in the current list that were not in the list held at `at`, or in the oldest list
    /// kept if that one is newer.
    pub(crate) fn added_since(&self, at: Instant) -> usize {
        let held_then = self.lists.iter().rev().find(|held| held.held_since <= at);
        let Some(base) = held_then.or(self.lists.front()) else {
            return 0;
        };
        let added = |node: &&Node| base.nodes.binary_search_by(|n| n.vm.cmp(&node.vm)).is_err();
        self.nodes().iter().filter(added).count()
    }

    /// First revision of the list held at `at`; `None` before the first list.
    pub(crate) fn revision_at(&self, at: Instant) -> Option<Revision> {
        let held = self.lists.iter().rev().find(|held| held.held_since <= at)?;
        Some(held.first_revision)
    }

    /// Revisions throughout which `vm` has been responsible for `key` until now. The search ends at the list
    /// held at `since`. `None` if `vm` is not responsible now.
    pub(crate) fn responsibility(
        &self,
        vm: &VmId,
        key: RequestKey,
        count: usize,
        since: Instant,
    ) -> Option<Responsibility> {
        let newest = self.revision()?;
        let mut found = None;
        for held in self.lists.iter().rev() {
            let set = witness_set::witnesses(key, &held.nodes, count);
            if !set.contains(&vm) {
                break;
            }
            let previous_max = found.map_or(0, |r: Responsibility| r.max_witnesses);
            found = Some(Responsibility {
                oldest: held.first_revision,
                newest,
                max_witnesses: set.len().max(previous_max),
            });
            if held.after_gap || held.held_since <= since {
                break;
            }
        }
        found
    }

    /// Drops lists that were replaced before `lists_until` and sizes that were last in use before
    /// `sizes_until`.
    pub(crate) fn expire_before(&mut self, lists_until: Instant, sizes_until: Instant) {
        while self
            .lists
            .get(1)
            .is_some_and(|next| next.held_since < lists_until)
        {
            self.lists.pop_front();
        }
        self.own_sizes.expire_before(sizes_until);
        self.peer_sizes.expire_before(sizes_until);
    }

    /// Drops all lists but the current one and treats it as just received, as after a restart of the process.
    pub(crate) fn reset_to_current(&mut self) {
        let now = Instant::now();
        let current = self.lists.pop_back();
        self.lists.clear();
        if let Some(mut held) = current {
            held.held_since = now;
            held.first_revision = held.last_revision;
            held.after_gap = true;
            self.lists.push_back(held);
        }
    }

    /// Start of the span of length `span` that ends at `at`; `at` itself if the start can't be represented.
    pub(crate) fn span_start(at: Instant, span: Duration) -> Instant {
        at.checked_sub(span).unwrap_or(at)
    }
}

fn entry_nodes(list: &VmList) -> Vec<Node> {
    let entry = list.vms.iter().filter(|vm| vm.role == VmRole::Entry);
    let mut nodes: Vec<_> = entry
        .map(|vm| Node {
            vm: vm.id.clone(),
            data_centre: vm.data_centre.clone(),
        })
        .collect();
    nodes.sort_unstable_by(|a, b| a.vm.cmp(&b.vm));
    nodes.dedup_by(|a, b| a.vm == b.vm);
    nodes
}

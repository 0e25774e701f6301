//! [`QuorumCheck`].

use std::collections::BTreeMap;

use oleanderpost_types::VmId;
use tokio::time::Instant;

use crate::{
    Limits,
    list_history::{ListHistory, Responsibility},
    peer_record::PeerRecord,
};

/// Number of confirmations that exist for a time span, and the number required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuorumCheck {
    /// Nodes that certainly held one of the revisions, including this node.
    pub(crate) confirmed: usize,
    /// Nodes required.
    pub(crate) quorum: usize,
}

impl QuorumCheck {
    /// Counts the nodes of the current list that held a revision in `responsibility` at all times from `from`
    /// to `to`.
    pub(crate) fn new(
        lists: &ListHistory,
        peers: &BTreeMap<VmId, PeerRecord>,
        limits: &Limits,
        responsibility: Responsibility,
        from: Instant,
        to: Instant,
    ) -> Self {
        let self_confirmed = lists
            .revision_at(from)
            .is_some_and(|revision| revision >= responsibility.oldest);
        let others = peers
            .values()
            .filter(|peer| peer.held_throughout(responsibility, from, to));
        Self {
            confirmed: others.count() + usize::from(self_confirmed),
            quorum: quorum(lists, limits, from),
        }
    }

    /// Whether enough nodes have confirmed.
    pub(crate) const fn is_met(self) -> bool {
        self.confirmed >= self.quorum
    }
}

/// Number of nodes such that any two sets of this size share a node, even if the sets are drawn from lists
/// that differ by the recently added VMs.
pub(crate) fn quorum(lists: &ListHistory, limits: &Limits, from: Instant) -> usize {
    let max_size = lists.max_size(ListHistory::span_start(
        Instant::now(),
        limits.list_size_window,
    ));
    let added = lists.added_since(ListHistory::span_start(from, limits.added_vm_window));
    (max_size + added) / 2 + 1
}

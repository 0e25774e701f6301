//! [`StoreHistory`].

use std::{collections::HashMap, time::Duration};

use crate::{BootTime, StorePosition, UpstreamId};

/// Time from the first response of a new era until responses count as evidence: by then the operator and the
/// upstreams have written again what the store has lost.
///
/// The platform documents about two seconds for entries of upstreams.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);
/// Time for which removed entries are remembered; a copy of the store is some seconds old.
const REMOVED_TTL: Duration = Duration::from_secs(120);

/// Start of one process of an upstream: identifier and start time.
type Process = (UpstreamId, Option<u64>);

#[derive(Clone, Copy, Debug)]
struct Removal {
    at: BootTime,
    era: u64,
}

/// What a node remembers of the store's history, so that a store that returns from a copy does not undo what the
/// node has acted on.
#[derive(Clone, Debug, Default)]
pub struct StoreHistory {
    position: StorePosition,
    /// Time of the first response of the current era; `None` if it was the era at the start of this node.
    era_began: Option<BootTime>,
    /// Version of the configuration that the store has shown last in this era.
    store_version: u64,
    /// Largest version of the configuration that any node has shown.
    newest_version: u64,
    /// Largest version of the configuration that a peer has applied.
    newest_of_peers: u64,
    /// Processes whose entries were removed.
    removed: HashMap<Process, Removal>,
}

impl StoreHistory {
    /// Position up to which changes have been applied.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Moves to a position; returns whether it begins a new era. The era at the start of the node counts as none.
    pub fn advance(&mut self, position: StorePosition, now: BootTime) -> bool {
        let begins_era = self.position.revision > 0 && position.era > self.position.era;
        if begins_era {
            self.era_began = Some(now);
            self.store_version = 0;
        }
        self.position = position;
        begins_era
    }

    /// Records the version of the configuration that the store has shown.
    pub fn note_store_version(&mut self, version: u64) {
        self.store_version = version;
        self.note_version(version);
    }

    /// Records a version of the configuration that this node or a peer has applied.
    pub fn note_version(&mut self, version: u64) {
        self.newest_version = self.newest_version.max(version);
    }

    /// Records a version of the configuration that a peer has applied.
    pub fn note_peer_version(&mut self, version: u64) {
        self.newest_of_peers = self.newest_of_peers.max(version);
        self.note_version(version);
    }

    /// Whether a response of the store to a request sent at `requested_at` is evidence that the configuration is
    /// current: the store has not lost a newer one as far as is known, and has had the time to get it back. A node that has
    /// just started does not see that the store has returned from a copy, but its peers know the newer configuration.
    #[must_use]
    pub fn is_evidence(&self, requested_at: BootTime) -> bool {
        let newest = if self.era_began.is_some() {
            self.newest_version
        } else {
            self.newest_of_peers
        };
        let has_newest = self.store_version >= newest;
        has_newest && self.is_settled(requested_at, self.position)
    }

    /// Whether evidence of the store at `position` from `requested_at` is no older than the time by which the store has
    /// got back what it had lost, or from before the loss.
    #[must_use]
    pub fn is_settled(&self, requested_at: BootTime, position: StorePosition) -> bool {
        match self.rewrite_end() {
            Some(end) if position.era == self.position.era => requested_at >= end,
            _ => position.era <= self.position.era || self.position.revision == 0,
        }
    }

    /// End of the time in which entries that the copy does not have may be registered again.
    #[must_use]
    pub fn rewrite_end(&self) -> Option<BootTime> {
        self.era_began.map(|began| began.after(REWRITE_TIME))
    }

    /// Records that the entry of a process was removed.
    pub fn note_removed(&mut self, id: &UpstreamId, started_at: Option<u64>, now: BootTime) {
        self.removed
            .retain(|_, removal| now.since(removal.at) <= REMOVED_TTL);
        let removal = Removal {
            at: now,
            era: self.position.era,
        };
        self.removed.insert((id.clone(), started_at), removal);
    }

    /// Whether a listed entry may be used. One that was removed in an earlier era and that the copy still lists may
    /// not, until its process writes it again, which `is_change` tells.
    pub fn accepts(&mut self, id: &UpstreamId, started_at: Option<u64>, is_change: bool) -> bool {
        let process = (id.clone(), started_at);
        if is_change {
            self.removed.remove(&process);
            return true;
        }
        let removal = self.removed.get(&process);
        removal.is_none_or(|removal| removal.era == self.position.era)
    }
}

//! [`PeerRecord`].

use std::collections::VecDeque;

use oleanderpost_types::{Incarnation, Revision};
use tokio::time::Instant;

use crate::{Confirmation, list_history::Responsibility};

/// Maximum number of revisions kept for one peer.
const MAX_REVISIONS: usize = 256;

/// A revision that the peer confirmed, with the first answer and the last request that confirmed it.
struct SeenRevision {
    revision: Revision,
    first_answered: Instant,
    last_asked: Instant,
}

/// Revisions of the VM list that one process on another VM confirmed.
#[derive(Default)]
pub(crate) struct PeerRecord {
    incarnation: Incarnation,
    seen: VecDeque<SeenRevision>,
}

impl PeerRecord {
    /// Records an answer. Answers of an earlier process and reordered answers are ignored.
    pub(crate) fn record(&mut self, confirmed: Confirmation, asked: Instant, answered: Instant) {
        if confirmed.incarnation < self.incarnation {
            return;
        }
        if confirmed.incarnation > self.incarnation {
            self.incarnation = confirmed.incarnation;
            self.seen.clear();
        }
        match self.seen.back_mut() {
            Some(seen) if seen.revision > confirmed.revision => {}
            Some(seen) if seen.revision == confirmed.revision => {
                seen.last_asked = seen.last_asked.max(asked)
            }
            _ => self.push(confirmed.revision, asked, answered),
        }
    }

    fn push(&mut self, revision: Revision, asked: Instant, answered: Instant) {
        self.seen.push_back(SeenRevision {
            revision,
            first_answered: answered,
            last_asked: asked,
        });
        if self.seen.len() > MAX_REVISIONS {
            self.seen.pop_front();
        }
    }

    /// Whether the peer certainly held a revision in `responsibility` at all times from `from` to `to`.
    pub(crate) fn held_throughout(
        &self,
        responsibility: Responsibility,
        from: Instant,
        to: Instant,
    ) -> bool {
        let before = |seen: &SeenRevision| {
            seen.first_answered <= from && seen.revision >= responsibility.oldest
        };
        let after =
            |seen: &SeenRevision| seen.last_asked >= to && seen.revision <= responsibility.newest;
        self.seen.iter().any(before) && self.seen.iter().any(after)
    }

    /// Drops revisions that were last confirmed before `until`, except the newest one.
    pub(crate) fn expire_before(&mut self, until: Instant) {
        while self.seen.len() > 1 && self.seen[0].last_asked < until {
            self.seen.pop_front();
        }
    }
}

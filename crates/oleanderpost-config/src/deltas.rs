//! [`Deltas`].

use std::{collections::VecDeque, sync::Arc};

use crate::{ContentHash, Payload};

/// Maximum number of deltas kept for nodes that are a few versions behind.
const MAX_DELTAS: usize = 16;

/// Maximum size of all these deltas, in bytes.
const MAX_DELTA_BYTES: usize = 64 * 1024;

/// Deltas from one content of a file to the next, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Deltas(VecDeque<Arc<Payload>>);

impl Deltas {
    /// Adds a delta, and drops the oldest ones beyond the limits.
    pub(crate) fn push(&mut self, delta: &Arc<Payload>) {
        if self.0.iter().any(|known| known.hash == delta.hash) {
            return;
        }
        self.0.push_back(delta.clone());
        while self.0.len() > MAX_DELTAS || self.bytes() > MAX_DELTA_BYTES {
            self.0.pop_front();
        }
    }

    /// Size of all deltas, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.0.iter().map(|delta| delta.data.as_slice().len()).sum()
    }

    /// The last delta to `hash`, if it is no longer than `limit` bytes.
    pub(crate) fn last_to(&self, hash: ContentHash, limit: usize) -> Option<Arc<Payload>> {
        let delta = self.0.iter().rev().find(|delta| delta.hash == hash);
        delta
            .filter(|delta| delta.data.as_slice().len() <= limit)
            .cloned()
    }

    /// Deltas from one of the contents `have` to `hash`, if all of them are kept.
    pub(crate) fn chain(
        &self,
        hash: ContentHash,
        have: &[ContentHash],
    ) -> Option<Vec<Arc<Payload>>> {
        let mut chain = VecDeque::new();
        let mut to = hash;
        for delta in self.0.iter().rev() {
            if delta.hash != to {
                continue;
            }
            chain.push_front(delta.clone());
            to = delta.base?;
            if have.contains(&to) {
                return Some(chain.into());
            }
        }
        None
    }
}

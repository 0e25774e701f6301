//! [`PrefixCache`].

use std::collections::{BTreeMap, HashMap};

/// Cached blocks of prompt prefixes with LRU eviction.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
}

impl PrefixCache {
    /// Returns the number of leading blocks of `prefix` that are cached, and marks them as used.
    pub(crate) fn lookup(&mut self, prefix: &[u64]) -> u64 {
        let cached = prefix
            .iter()
            .take_while(|hash| self.last_used.contains_key(hash));
        let cached = cached.count();
        for hash in prefix[..cached].iter().rev() {
            self.mark_used(*hash);
        }
        cached as u64
    }

    /// Stores blocks and returns those that were not cached before.
    pub(crate) fn store(&mut self, prefix: &[u64]) -> Vec<u64> {
        let mut stored = Vec::new();
        for hash in prefix.iter().rev() {
            if self.mark_used(*hash) {
                stored.push(*hash);
            }
        }
        stored
    }

    /// Evicts blocks until at most `limit` are left, and returns the evicted blocks.
    pub(crate) fn shrink(&mut self, limit: u64) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.last_used.len() as u64 > limit {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&hash);
            evicted.push(hash);
        }
        evicted
    }

    /// Marks a block as the most recently used one. Returns whether it is new.
    fn mark_used(&mut self, hash: u64) -> bool {
        self.use_counter += 1;
        let last = self.last_used.insert(hash, self.use_counter);
        if let Some(last) = last {
            self.by_last_use.remove(&last);
        }
        self.by_last_use.insert(self.use_counter, hash);
        last.is_none()
    }
}

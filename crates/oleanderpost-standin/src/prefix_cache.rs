//! [`PrefixCache`].

use std::collections::{BTreeMap, HashMap};

/// Cached blocks of prompt prefixes; the least recently used one goes first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
}

impl PrefixCache {
    /// Number of leading blocks of `prefix` that are cached; they count as used.
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

    /// Stores blocks; gives those that were new.
    pub(crate) fn store(&mut self, prefix: &[u64]) -> Vec<u64> {
        let mut stored = Vec::new();
        for hash in prefix.iter().rev() {
            if self.mark_used(*hash) {
                stored.push(*hash);
            }
        }
        stored
    }

    /// Evicts blocks until at most `limit` are left; gives the evicted ones.
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

//! [`PrefixCache`] and [`PrefixLocations`].

use std::collections::{BTreeMap, VecDeque};

use oleanderpost_types::{Tokens, UpstreamId};

use crate::Fingerprint;

/// Maximum number of stored fingerprints.
const CAPACITY: usize = 4_096;

/// Prefixes recently sent to an engine, which may still be in its cache.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    last_uses: BTreeMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
}

impl PrefixCache {
    /// Number of tokens in the longest known prefix.
    pub(crate) fn cached(&self, prefix: &[Fingerprint]) -> Tokens {
        let known = prefix
            .iter()
            .filter(|fingerprint| self.last_uses.contains_key(&fingerprint.hash));
        known
            .map(|fingerprint| fingerprint.tokens)
            .max()
            .unwrap_or_default()
    }

    /// Records prefixes, evicting the least recently used ones.
    pub(crate) fn record(&mut self, prefix: &[Fingerprint]) {
        for fingerprint in prefix {
            self.clock += 1;
            self.last_uses.insert(fingerprint.hash, self.clock);
            self.order.push_back((fingerprint.hash, self.clock));
        }
        while self.last_uses.len() > CAPACITY || self.order.len() > 2 * CAPACITY {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((hash, last_use)) = self.order.pop_front() else {
            return;
        };
        if self.last_uses.get(&hash) == Some(&last_use) {
            self.last_uses.remove(&hash);
        }
    }
}

/// The engine to which an entry node last sent prompts with a given prefix.
#[derive(Debug, Default)]
pub(crate) struct PrefixLocations {
    engines: BTreeMap<u64, UpstreamId>,
    order: VecDeque<u64>,
}

impl PrefixLocations {
    /// Number of tokens in the longest prefix that was last sent to this engine.
    pub(crate) fn cached(&self, prefix: &[Fingerprint], engine: &UpstreamId) -> Tokens {
        let is_here =
            |fingerprint: &&Fingerprint| self.engines.get(&fingerprint.hash) == Some(engine);
        let known = prefix
            .iter()
            .filter(is_here)
            .map(|fingerprint| fingerprint.tokens);
        known.max().unwrap_or_default()
    }

    /// Records the engine of prefixes, evicting the oldest ones.
    pub(crate) fn record(&mut self, prefix: &[Fingerprint], engine: &UpstreamId) {
        for fingerprint in prefix {
            if self
                .engines
                .insert(fingerprint.hash, engine.clone())
                .is_none()
            {
                self.order.push_back(fingerprint.hash);
            }
        }
        while self.order.len() > CAPACITY {
            let oldest = self.order.pop_front();
            oldest.and_then(|hash| self.engines.remove(&hash));
        }
    }
}

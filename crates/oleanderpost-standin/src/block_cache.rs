//! [`BlockCache`].

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    CacheChange, CacheEvents, EngineSettings, cache_event::CacheEventLog, prefix_cache::PrefixCache,
};

/// The prefix cache together with the events that it publishes.
#[derive(Debug)]
pub(crate) struct BlockCache {
    cache: PrefixCache,
    events: CacheEventLog,
    lag: Duration,
}

impl BlockCache {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            cache: PrefixCache::default(),
            events: CacheEventLog::new(settings.seed, settings.cache_gaps),
            lag: settings.cache_lag_ms.into(),
        }
    }

    /// Number of leading blocks of `prefix` that are cached; they count as used.
    pub(crate) fn lookup(&mut self, prefix: &[u64]) -> u64 {
        self.cache.lookup(prefix)
    }

    /// Stores blocks in at most `room` blocks of memory.
    pub(crate) fn store(&mut self, prefix: &[u64], max_blocks: u64) {
        let stored = self.cache.store(prefix);
        self.events
            .record(Instant::now(), CacheChange::Stored, &stored);
        self.shrink(max_blocks);
    }

    /// Evicts until the cache takes at most `room` blocks.
    pub(crate) fn shrink(&mut self, max_blocks: u64) {
        let evicted = self.cache.shrink(max_blocks);
        self.events
            .record(Instant::now(), CacheChange::Evicted, &evicted);
    }

    /// Loses all blocks without a word.
    pub(crate) fn clear(&mut self) {
        self.cache = PrefixCache::default();
    }

    /// Events after a number, late and with gaps.
    pub(crate) fn events(&self, after: u64) -> CacheEvents {
        self.events.events_after(Instant::now(), self.lag, after)
    }
}

//! [`BlockCache`].

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    CacheChange, CacheEvents, EngineSettings, cache_event::CacheEventLog, prefix_cache::PrefixCache,
};

/// The prefix cache and the log of its events.
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

    /// Returns the number of leading blocks of `prefix` that are cached, and marks them as used.
    pub(crate) fn lookup(&mut self, prefix: &[u64]) -> u64 {
        self.cache.lookup(prefix)
    }

    /// Stores blocks, then evicts until the cache takes at most `max_blocks` blocks.
    pub(crate) fn store(&mut self, prefix: &[u64], max_blocks: u64) {
        let stored = self.cache.store(prefix);
        self.events
            .record(Instant::now(), CacheChange::Stored, &stored);
        self.shrink(max_blocks);
    }

    /// Evicts until the cache takes at most `max_blocks` blocks.
    pub(crate) fn shrink(&mut self, max_blocks: u64) {
        let evicted = self.cache.shrink(max_blocks);
        self.events
            .record(Instant::now(), CacheChange::Evicted, &evicted);
    }

    /// Drops all blocks without recording events.
    pub(crate) fn clear(&mut self) {
        self.cache = PrefixCache::default();
    }

    /// Returns the events after sequence number `after`. Events are delayed and some are missing.
    pub(crate) fn events(&self, after: u64) -> CacheEvents {
        self.events.events_after(Instant::now(), self.lag, after)
    }
}

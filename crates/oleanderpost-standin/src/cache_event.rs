//! [`CacheEvent`], [`CacheEvents`] and [`CacheEventLog`].

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Maximum number of events that are kept.
const MAX_EVENTS: usize = 65_536;

/// Kind of change of a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap in the numbers indicates lost events.
    pub sequence: u64,
    /// Kind of change.
    pub change: CacheChange,
    /// Hash of the block together with all blocks before it.
    pub block: u64,
}

/// Answer of `GET /v1/cache/events?after=S`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events after the given sequence number. Events are delayed and some are missing.
    pub events: Vec<CacheEvent>,
    /// Sequence number to pass as `after` in the next request.
    pub next: u64,
}

/// Recent cache events. A random share of them is lost.
#[derive(Debug)]
pub(crate) struct CacheEventLog {
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    loss_rate: f64,
    rng: ChaCha8Rng,
}

impl CacheEventLog {
    pub(crate) fn new(seed: u64, loss_rate: f64) -> Self {
        Self {
            events: VecDeque::new(),
            sequence: 0,
            loss_rate: loss_rate.clamp(0.0, 1.0),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn record(&mut self, now: Instant, change: CacheChange, blocks: &[u64]) {
        for block in blocks {
            self.sequence += 1;
            if self.rng.random_bool(self.loss_rate) {
                continue;
            }
            let event = CacheEvent {
                sequence: self.sequence,
                change,
                block: *block,
            };
            self.events.push_back((now, event));
        }
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    pub(crate) fn events_after(&self, now: Instant, lag: Duration, after: u64) -> CacheEvents {
        let visible = self.events.iter().take_while(|(at, _)| *at + lag <= now);
        let wanted = visible.filter(|(_, event)| event.sequence > after);
        let events: Vec<CacheEvent> = wanted.map(|(_, event)| *event).collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CacheEvents { events, next }
    }
}

//! [`Streams`].

use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use oleanderpost_types::{Attempt, RequestKey};

use crate::stream_entry::{SchedulingKey, StreamEntry};

new_key_type! {
    /// Handle of a stream.
    pub(crate) struct StreamId;
}

/// The streams that an engine knows, by handle and by request.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    entries: SlotMap<StreamId, StreamEntry>,
    by_key: HashMap<RequestKey, Vec<StreamId>>,
    live: BTreeMap<SchedulingKey, StreamId>,
    ended: VecDeque<StreamId>,
}

impl Streams {
    pub(crate) fn insert(&mut self, entry: StreamEntry) -> StreamId {
        let key = entry.submission.key;
        let scheduling_key = entry.scheduling_key();
        let id = self.entries.insert(entry);
        self.by_key.entry(key).or_default().push(id);
        self.live.insert(scheduling_key, id);
        id
    }

    /// Takes a stream that has ended out of scheduling; its answer is kept.
    pub(crate) fn retire(&mut self, id: StreamId) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if self.live.remove(&entry.scheduling_key()).is_some() {
            self.ended.push_back(id);
        }
    }

    /// Forgets the answers that ended up to `limit`.
    pub(crate) fn remove_ended(&mut self, limit: Instant) {
        while self.oldest_end().is_some_and(|ended| ended <= limit) {
            if let Some(id) = self.ended.pop_front() {
                self.remove(id);
            }
        }
    }

    /// When the oldest answer that is kept ended.
    pub(crate) fn oldest_end(&self) -> Option<Instant> {
        self.entries.get(*self.ended.front()?)?.ended
    }

    pub(crate) fn get(&self, id: StreamId) -> Option<&StreamEntry> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: StreamId) -> Option<&mut StreamEntry> {
        self.entries.get_mut(id)
    }

    /// The stream of an attempt, or of the latest one.
    pub(crate) fn find(&self, key: RequestKey, attempt: Option<Attempt>) -> Option<StreamId> {
        let ids = self.by_key.get(&key)?;
        let wanted = |id: &&StreamId| {
            let entry = &self.entries[**id];
            attempt.is_none_or(|attempt| entry.submission.attempt == attempt)
        };
        ids.iter().rev().find(wanted).copied()
    }

    /// Streams that wait or run, in scheduling order.
    pub(crate) fn live(&self) -> impl Iterator<Item = (StreamId, &StreamEntry)> {
        self.live.values().map(|id| (*id, &self.entries[*id]))
    }

    /// Handles of the streams that wait or run, in scheduling order.
    pub(crate) fn live_ids(&self) -> Vec<StreamId> {
        self.live.values().copied().collect()
    }

    /// Forgets all streams. Their handles stay invalid, because readers may still hold them.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.by_key.clear();
        self.live.clear();
        self.ended.clear();
    }

    fn remove(&mut self, id: StreamId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        let key = entry.submission.key;
        let Some(ids) = self.by_key.get_mut(&key) else {
            return;
        };
        ids.retain(|other| *other != id);
        if ids.is_empty() {
            self.by_key.remove(&key);
        }
    }
}

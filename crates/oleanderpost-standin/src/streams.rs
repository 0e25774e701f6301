//! [`Streams`].

use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use oleanderpost_types::{Attempt, RequestKey};

use crate::stream_entry::{SchedulingKey, StreamEntry};

new_key_type! {
    /// Identifies a stream within an engine.
    pub(crate) struct StreamId;
}

/// All streams of an engine, indexed by ID and by request key.
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

    /// Removes an ended stream from scheduling; its answer is retained.
    pub(crate) fn retire(&mut self, id: StreamId) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if self.live.remove(&entry.scheduling_key()).is_some() {
            self.ended.push_back(id);
        }
    }

    /// Removes the streams that ended at or before `limit`.
    pub(crate) fn remove_ended(&mut self, limit: Instant) {
        while self.oldest_end().is_some_and(|ended| ended <= limit) {
            if let Some(id) = self.ended.pop_front() {
                self.remove(id);
            }
        }
    }

    /// Returns the end time of the oldest retained answer.
    pub(crate) fn oldest_end(&self) -> Option<Instant> {
        self.entries.get(*self.ended.front()?)?.ended
    }

    pub(crate) fn get(&self, id: StreamId) -> Option<&StreamEntry> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: StreamId) -> Option<&mut StreamEntry> {
        self.entries.get_mut(id)
    }

    /// Returns the stream of the given attempt, or of the latest one if `None`.
    pub(crate) fn find(&self, key: RequestKey, attempt: Option<Attempt>) -> Option<StreamId> {
        let ids = self.by_key.get(&key)?;
        let wanted = |id: &&StreamId| {
            let entry = &self.entries[**id];
            attempt.is_none_or(|attempt| entry.submission.attempt == attempt)
        };
        ids.iter().rev().find(wanted).copied()
    }

    /// Returns the streams that wait or run, in scheduling order.
    pub(crate) fn live(&self) -> impl Iterator<Item = (StreamId, &StreamEntry)> {
        self.live.values().map(|id| (*id, &self.entries[*id]))
    }

    /// Returns the IDs of the streams that wait or run, in scheduling order.
    pub(crate) fn live_ids(&self) -> Vec<StreamId> {
        self.live.values().copied().collect()
    }

    /// Removes all streams. Their IDs are not reused, because readers may still hold them.
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

//! [`FakePlatform`].

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use oleanderpost_config::{ConfigSource, Error, Result};
use oleanderpost_types::{ConfigEntry, ConfigReply, FileName, Millis, Revision};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(2);
/// Time for which a read stays open while the platform hangs.
const HANG_TIME: Duration = Duration::from_secs(3600);

/// Fake of the platform's configuration service: a log of changes and replicas that follow it.
#[derive(Debug, Default)]
pub struct FakePlatform {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    log: Vec<ConfigEntry>,
    /// Replicas that do not follow the log, with the length of the log that they serve.
    frozen: BTreeMap<usize, usize>,
    down: bool,
    hangs: bool,
    reads: u64,
    /// Number of open reads and watches.
    open: u64,
    /// Second of the latest read, number of reads begun in it, and the highest such number so far.
    /// Seconds count from the first read.
    peak: (u64, u64, u64),
    /// Time of the first read.
    start: Option<Instant>,
}

impl FakePlatform {
    /// Creates a platform without files.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a file, or deletes it if `content` is `None`. Returns the revision of the change.
    pub fn write(&self, name: &FileName, content: Option<&str>) -> Revision {
        let revision = {
            let mut state = self.state();
            let revision = Revision::new(state.log.len() as u64 + 1);
            state.log.push(ConfigEntry {
                name: name.clone(),
                revision,
                content: content.map(str::to_owned),
            });
            revision
        };
        self.changed.notify_waiters();
        revision
    }

    /// Returns the last change of a file.
    #[must_use]
    pub fn last_change(&self, name: &FileName) -> Option<ConfigEntry> {
        let state = self.state();
        state
            .log
            .iter()
            .rev()
            .find(|entry| entry.name == *name)
            .cloned()
    }

    /// Drops all changes after a revision, as if the platform had been restored from a backup.
    pub fn restore(&self, revision: Revision) {
        let len = usize::try_from(revision.get()).unwrap_or(usize::MAX);
        self.state().log.truncate(len);
    }

    /// Sets whether a replica is frozen at its current revision or follows the log.
    pub fn set_frozen(&self, replica: usize, frozen: bool) {
        {
            let mut state = self.state();
            let len = state.log.len();
            if frozen {
                state.frozen.entry(replica).or_insert(len);
            } else {
                state.frozen.remove(&replica);
            }
        }
        self.changed.notify_waiters();
    }

    /// Sets whether all reads fail, and whether they hang before they do.
    pub fn set_down(&self, down: bool, hangs: bool) {
        {
            let mut state = self.state();
            state.down = down;
            state.hangs = hangs;
        }
        self.changed.notify_waiters();
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.state().frozen.clear();
        self.set_down(false, false);
    }

    /// Returns the number of reads begun so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state().reads
    }

    /// Returns the number of currently open reads and watches.
    #[must_use]
    pub fn open_reads(&self) -> u64 {
        self.state().open
    }

    /// Returns the highest number of reads begun within one clock second.
    #[must_use]
    pub fn peak_reads(&self) -> u64 {
        self.state().peak.2
    }

    /// Returns the source that reads from one replica, as the nodes of one data centre do.
    #[must_use]
    pub fn source(self: &Arc<Self>, replica: usize) -> Arc<dyn ConfigSource> {
        Arc::new(ReplicaSource {
            platform: self.clone(),
            replica,
        })
    }

    fn begin_read(&self) -> OpenRead<'_> {
        let mut state = self.state();
        state.reads += 1;
        state.open += 1;
        let now = Instant::now();
        let start = *state.start.get_or_insert(now);
        let second = now.duration_since(start).as_secs();
        let (last, count, peak) = state.peak;
        let count = if second == last { count + 1 } else { 1 };
        state.peak = (second, count, peak.max(count));
        OpenRead(self)
    }

    fn reply(&self, replica: usize, after: Revision) -> Option<ConfigReply> {
        let state = self.state();
        if state.down {
            return None;
        }
        let len = state
            .frozen
            .get(&replica)
            .copied()
            .unwrap_or(state.log.len())
            .min(state.log.len());
        let mut files: BTreeMap<&FileName, &ConfigEntry> = BTreeMap::new();
        for entry in &state.log[..len] {
            files.insert(&entry.name, entry);
        }
        let changed = files.into_values().filter(|entry| entry.revision > after);
        Some(ConfigReply {
            revision: Revision::new(len as u64),
            entries: changed.cloned().collect(),
        })
    }
}

/// Counts a read as open until it is dropped.
struct OpenRead<'a>(&'a FakePlatform);

impl Drop for OpenRead<'_> {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

struct ReplicaSource {
    platform: Arc<FakePlatform>,
    replica: usize,
}

#[async_trait]
impl ConfigSource for ReplicaSource {
    async fn changes(&self, after: Revision, wait: Millis) -> Result<ConfigReply> {
        let _open = self.platform.begin_read();
        sleep(ANSWER_TIME).await;
        let end = Instant::now() + Duration::from(wait);
        loop {
            let changed = self.platform.changed.notified();
            let Some(reply) = self.platform.reply(self.replica, after) else {
                let hangs = self.platform.state().hangs;
                sleep(if hangs { HANG_TIME } else { ANSWER_TIME }).await;
                return Err(Error::Source("down".to_owned()));
            };
            if !reply.entries.is_empty() || Instant::now() >= end {
                return Ok(reply);
            }
            let _ = timeout_at(end, changed).await;
        }
    }
}

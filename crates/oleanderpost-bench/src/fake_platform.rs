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

/// Time of one answer.
const ANSWER_TIME: Duration = Duration::from_millis(2);
/// Time for which a hanging platform keeps a read open.
const HANG_TIME: Duration = Duration::from_secs(3600);

/// The configuration service: a log of changes and replicas that follow it.
#[derive(Debug, Default)]
pub struct FakePlatform {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    log: Vec<ConfigEntry>,
    /// Replicas that do not follow, with the length of the log that they show.
    frozen: BTreeMap<usize, usize>,
    down: bool,
    hangs: bool,
    reads: u64,
    /// Watches and reads that are open.
    open: u64,
    /// Greatest count of reads begun within one second, and that second.
    peak: (u64, u64, u64),
    start: Option<Instant>,
}

impl FakePlatform {
    /// A platform without files.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a file, or removes it; gives the revision of the change.
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

    /// The last change of a file.
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

    /// Forgets all changes after a revision, as a platform does that is restored from a copy.
    pub fn restore(&self, revision: Revision) {
        let len = usize::try_from(revision.get()).unwrap_or(usize::MAX);
        self.state().log.truncate(len);
    }

    /// Lets a replica stand still, or follow again.
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

    /// Lets all reads fail, at once or after a long silence.
    pub fn set_down(&self, down: bool, hangs: bool) {
        {
            let mut state = self.state();
            state.down = down;
            state.hangs = hangs;
        }
        self.changed.notify_waiters();
    }

    /// Lets everything work again.
    pub fn clear_faults(&self) {
        self.state().frozen.clear();
        self.set_down(false, false);
    }

    /// Reads begun so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state().reads
    }

    /// Reads and watches that are open now.
    #[must_use]
    pub fn open_reads(&self) -> u64 {
        self.state().open
    }

    /// Greatest count of reads begun within one second of the clock.
    #[must_use]
    pub fn peak_reads(&self) -> u64 {
        self.state().peak.2
    }

    /// Border towards the replica that one data centre reads.
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

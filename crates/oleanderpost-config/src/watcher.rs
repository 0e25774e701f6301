//! The task that watches the configuration service while this node is selected for it.

use std::{sync::Arc, time::Duration};

use oleanderpost_types::{ConfigReply, Millis, Revision};
use tokio::time::{Instant, sleep, timeout};

use crate::{Error, PeerView, Result, ingest, shared::Shared};

/// Time between two checks of this node's role while it is idle.
const ROLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in addition to the requested wait after which a read counts as failed.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// Minimum time between two reads of one node.
const MIN_READ_GAP: Duration = Duration::from_millis(50);
/// Mean delay between two reads of a substitute; longer in large fleets because of the read budget.
const SUBSTITUTE_READ_GAP: Duration = Duration::from_secs(1);
/// Minimum and maximum delay after failed reads.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// If the configuration service returns lower revisions than before for this long, all files are read again.
const MAX_BEHIND_TIME: Duration = Duration::from_secs(60);

/// Role of a node in reading the configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Watches the service: one of the first nodes of its data centre by rank, counting unreachable nodes too.
    Watcher,
    /// Reads the service periodically, because a watcher ranked before it is unreachable or suspect.
    Substitute,
    /// Does not read the service.
    Idle,
}

/// Reads changes from the configuration service.
#[derive(Debug, Default)]
pub(crate) struct Watcher {
    after: Revision,
    /// Time since which the configuration service has returned lower revisions than `after`.
    behind_since: Option<Instant>,
    failures: u32,
}

impl Watcher {
    /// Reads all changes since the last read, without waiting for new ones.
    ///
    /// # Errors
    ///
    /// [`Error::Source`] when the service fails or does not respond in time.
    pub(crate) async fn read_once(&mut self, shared: &Shared) -> Result<()> {
        self.read(shared, Duration::ZERO).await
    }

    /// Reads the service in a loop whenever this node is a watcher or substitute.
    pub(crate) async fn run(mut self, shared: Arc<Shared>) {
        loop {
            let peers = shared.peers();
            let role = role(&shared, &peers);
            let wait = match role {
                Role::Idle => {
                    sleep(ROLE_INTERVAL).await;
                    continue;
                }
                Role::Watcher => shared.tuning.watch_wait,
                Role::Substitute => Duration::ZERO,
            };
            let result = self.read(&shared, wait).await;
            self.failures = match result {
                Ok(()) => 0,
                Err(_) => self.failures.saturating_add(1),
            };
            sleep(self.delay_until_next_read(&shared, role)).await;
        }
    }

    /// Delay before the next read, after the last one succeeded or failed.
    fn delay_until_next_read(&self, shared: &Shared, role: Role) -> Duration {
        let gap = match role {
            Role::Substitute => shared.jitter(SUBSTITUTE_READ_GAP),
            _ => MIN_READ_GAP,
        };
        let gap = gap.max(shared.read_gap());
        if self.failures == 0 {
            return gap;
        }
        let (min_delay, max_delay) = BACKOFF;
        let doubled = min_delay.saturating_mul(1 << self.failures.min(8));
        shared.jitter(doubled.min(max_delay)).max(gap)
    }

    async fn read(&mut self, shared: &Shared, wait: Duration) -> Result<()> {
        let after = self.after;
        shared.counters().source_reads += 1;
        let changes = shared.source.changes(after, Millis::from(wait));
        let response = timeout(wait + READ_TIMEOUT_MARGIN, changes).await;
        let response =
            response.unwrap_or_else(|_| Err(Error::Source("no answer in time".to_owned())));
        let reply = match response {
            Ok(reply) => reply,
            Err(e) => {
                shared.counters().failed_source_reads += 1;
                return Err(e);
            }
        };
        shared.record_source_response();
        self.merge(shared, reply).await;
        Ok(())
    }

    async fn merge(&mut self, shared: &Shared, reply: ConfigReply) {
        let is_full_list = self.after == Revision::default();
        let revision = reply.revision;
        ingest::merge_reply(shared, reply, is_full_list).await;
        if revision >= self.after {
            self.after = revision;
            self.behind_since = None;
            return;
        }
        let behind_since = *self.behind_since.get_or_insert_with(Instant::now);
        if behind_since.elapsed() >= MAX_BEHIND_TIME {
            // The configuration service may have been restored from a backup, with lower revisions.
            self.after = Revision::default();
            self.behind_since = None;
        }
    }
}

fn role(shared: &Shared, peers: &[PeerView]) -> Role {
    let ranked = shared
        .ranking(peers)
        .watchers(&shared.data_centre, |_| true);
    if ranked
        .iter()
        .take(shared.tuning.watchers)
        .any(|vm| *vm == shared.vm)
    {
        return Role::Watcher;
    }
    if shared.watchers(peers).contains(&shared.vm) {
        return Role::Substitute;
    }
    Role::Idle
}

/// Whether this node reads the configuration service.
pub(crate) fn is_watching(shared: &Shared) -> bool {
    role(shared, &shared.peers()) != Role::Idle
}

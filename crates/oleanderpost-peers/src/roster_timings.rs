//! [`RosterTimings`].

use std::time::Duration;

/// Timeouts, intervals and limits of a [`Roster`](crate::Roster).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RosterTimings {
    /// Interval between periodic exchanges with peers.
    pub exchange_interval: Duration,
    /// Time limit of one exchange.
    pub exchange_timeout: Duration,
    /// Time limit for fetching the VM list, or its changes, from a peer.
    pub fetch_timeout: Duration,
    /// How long a read of the platform's list waits for a newer list.
    pub read_wait: Duration,
    /// Added to `read_wait` for the time limit of a read of the platform.
    pub read_timeout_margin: Duration,
    /// Delay between two reads of one node; it doubles with each failure.
    pub min_read_delay: Duration,
    /// Longest delay between two reads of one node while the platform fails.
    pub max_read_delay: Duration,
    /// Number of nodes of each data centre that watch the platform.
    pub watchers: usize,
    /// Maximum number of nodes of each data centre that watch the platform while the list is not confirmed.
    pub max_watchers: usize,
    /// Age of the last confirmation at which one more node starts to watch.
    pub takeover_after: Duration,
    /// Interval after `takeover_after` at which each further node starts to watch.
    pub takeover_interval: Duration,
    /// Age of the last confirmation at which other nodes are selected to watch; the selection changes again
    /// after each further interval.
    pub reselect_interval: Duration,
    /// How long marks of VMs that are not in the list are kept.
    pub mark_retention: Duration,
    /// When the marks of two nodes differ, marks learned within this time are sent first; all marks are sent
    /// only if that is not enough.
    pub recent_mark_age: Duration,
    /// Maximum number of concurrent exchanges.
    pub max_concurrent_exchanges: usize,
}

impl Default for RosterTimings {
    fn default() -> Self {
        Self {
            exchange_interval: Duration::from_secs(2),
            exchange_timeout: Duration::from_secs(2),
            fetch_timeout: Duration::from_secs(5),
            read_wait: Duration::from_secs(5),
            read_timeout_margin: Duration::from_secs(2),
            min_read_delay: Duration::from_millis(200),
            max_read_delay: Duration::from_secs(5),
            watchers: 2,
            max_watchers: 6,
            takeover_after: Duration::from_secs(40),
            takeover_interval: Duration::from_secs(5),
            reselect_interval: Duration::from_secs(90),
            mark_retention: Duration::from_secs(600),
            recent_mark_age: Duration::from_secs(60),
            max_concurrent_exchanges: 4,
        }
    }
}

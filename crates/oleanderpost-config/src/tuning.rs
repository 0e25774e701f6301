//! [`Tuning`].

use std::time::Duration;

/// Intervals and bounds of the convergence. The defaults suit fleets of 1 to 340 nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Nodes of each data centre that watch the configuration service.
    pub watchers: usize,
    /// Peers that a change is pushed to.
    pub fanout: usize,
    /// Longest payload that travels with the first offer, in bytes.
    pub inline_limit: usize,
    /// Mean time between two comparisons with a peer.
    pub sync_interval: Duration,
    /// Mean time between two reports, unless something changes.
    pub report_interval: Duration,
    /// Time that a watch waits at the configuration service.
    pub watch_wait: Duration,
    /// Deadline of a question to a peer.
    pub request_timeout: Duration,
    /// Shortest time between two reads of one node, for each node of the fleet: all nodes together read
    /// once in this time at most.
    pub read_gap_per_node: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            watchers: 2,
            fanout: 4,
            inline_limit: 1024,
            sync_interval: Duration::from_secs(2),
            report_interval: Duration::from_secs(5),
            watch_wait: Duration::from_secs(10),
            request_timeout: Duration::from_secs(2),
            read_gap_per_node: Duration::from_millis(1),
        }
    }
}

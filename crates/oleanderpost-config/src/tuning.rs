//! [`Tuning`].

use std::time::Duration;

/// Intervals and limits of [`Convergence`](crate::Convergence). The defaults suit fleets of 1 to 340
/// nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Number of nodes in each data centre that watch the configuration service.
    pub watchers: usize,
    /// Number of peers to which a node pushes a change.
    pub fanout: usize,
    /// Maximum size of a payload included in the first offer, in bytes.
    pub inline_limit: usize,
    /// Mean time between two anti-entropy comparisons with a peer.
    pub sync_interval: Duration,
    /// Mean time between two reports to the watchers. Changes are reported sooner.
    pub report_interval: Duration,
    /// Time for which the configuration service holds a watch request if nothing changes.
    pub watch_wait: Duration,
    /// Timeout of a request to a peer.
    pub request_timeout: Duration,
    /// The minimum time between two reads of one node is this value times the number of nodes in the fleet,
    /// so that all nodes together read the configuration service at most once in this time.
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

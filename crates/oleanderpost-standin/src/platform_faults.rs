//! [`PlatformFaults`] and [`StaleReplica`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Millis, Revision};

/// A replica of the configuration service that no longer receives updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaleReplica {
    /// Newest revision that the replica holds.
    pub revision: Revision,
    /// The replica answers every n-th call; 1 means all calls.
    pub every: u64,
}

/// Faults to inject into the platform (`PUT /v1/faults`). The body replaces all current faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answers all reads with status 503.
    pub down: bool,
    /// Leaves all reads unanswered until this fault is cleared.
    pub hang: bool,
    /// Lets a stale replica answer some of the reads.
    pub stale: Option<StaleReplica>,
    /// Additional delay of each answer.
    pub slow_ms: Millis,
    /// Additional lag of the VM list.
    pub list_lag_ms: Millis,
    /// Revisions of the VM list that are never returned to readers.
    pub skip_list_revisions: Vec<Revision>,
}

//! [`CallCounts`].

use serde::{Deserialize, Serialize};

/// CallCounts that the platform has taken (`GET /v1/calls`); a waiting watch counts as one per poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of the configuration.
    pub config: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Fetches of weights.
    pub weights: u64,
    /// CallCounts that were refused for their rate.
    pub limited: u64,
}

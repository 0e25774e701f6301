//! [`CallCounts`].

use serde::{Deserialize, Serialize};

/// Number of calls that the platform has received (`GET /v1/calls`). Each long poll counts as one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of the configuration.
    pub config: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Fetches of weights.
    pub weights: u64,
    /// Calls refused by rate limiting.
    pub limited: u64,
}

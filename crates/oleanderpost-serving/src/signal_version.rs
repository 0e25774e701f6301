//! [`SignalVersion`].

use serde::{Deserialize, Serialize};

/// Position in the changes of one node's [`SignalTable`](crate::SignalTable).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignalVersion {
    /// Identifies the start of the node.
    pub start_id: u64,
    /// Number of the last change.
    pub number: u64,
}

//! [`VmRole`].

use serde::{Deserialize, Serialize};

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs an oleanderpost node.
    Entry,
    /// Runs an engine or a plain service.
    Upstream,
}

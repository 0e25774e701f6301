//! [`VmState`].

use serde::{Deserialize, Serialize};

/// State of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be shut down; it gets no new work.
    Leaving,
}

//! [`Action`].

use serde::{Deserialize, Serialize};

/// How a configuration object changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Only the new configuration defines it.
    Added,
    /// Only the old configuration defines it.
    Removed,
    /// Its fields differ.
    Changed,
}

impl std::fmt::Display for Action {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        })
    }
}

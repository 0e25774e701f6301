//! [`Outcome`].

use serde::{Deserialize, Serialize};

/// Outcome of a request that did not get a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request was written to any upstream.
    NotRun,
    /// The request ran completely or in part, and will not be answered.
    Failed,
    /// It is not known whether the request ran.
    Unknown,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}

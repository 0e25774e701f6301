//! [`ChangeKind`].

use serde::{Deserialize, Serialize};

/// Kind of a configuration object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// A service, without its upstreams.
    Service,
    /// An upstream of a service.
    Upstream,
    /// A client account.
    Account,
    /// A rollout, named by its service.
    Rollout,
}

impl std::fmt::Display for ChangeKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::Service => "service",
            Self::Upstream => "upstream",
            Self::Account => "account",
            Self::Rollout => "rollout",
        })
    }
}

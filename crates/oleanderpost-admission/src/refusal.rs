//! [`Refusal`].

use oleanderpost_types::Millis;
use serde::{Deserialize, Serialize};

/// Refusal to admit a request. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// Delay after which to retry; `None` if a retry would not help.
    pub retry_after: Option<Millis>,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The service does not exist.
    UnknownService,
    /// The account is not allowed to call the service.
    UnknownAccount,
    /// The account exceeded its rate limit.
    Limit,
    /// The request cannot finish before its deadline.
    Deadline,
    /// The prompt does not fit into the memory of all engines together.
    TooLarge,
    /// No upstream accepts requests.
    Unavailable,
}

impl Reason {
    /// Stable name, used in responses and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::UnknownAccount => "unknown_account",
            Self::Limit => "limit",
            Self::Deadline => "deadline",
            Self::TooLarge => "too_large",
            Self::Unavailable => "unavailable",
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.name())
    }
}

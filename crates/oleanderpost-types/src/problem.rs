//! [`Problem`].

use serde::{Deserialize, Serialize};

use crate::{Millis, Outcome};

/// Response body of a refused or failed request (`application/problem+json`, RFC 9457).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable name of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status code.
    pub status: u16,
    /// Human-readable description of what happened.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Time after which the caller may retry, counted from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
}

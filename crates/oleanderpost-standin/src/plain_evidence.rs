//! [`PlainEvidence`] and [`PlainRun`].

use serde::{Deserialize, Serialize};

/// One executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRun {
    /// Value of the request key header.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body, as text.
    pub body: String,
}

/// Calls that a plain service executed (`GET /v1/evidence`), for checks in tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainEvidence {
    /// All runs, oldest first.
    pub runs: Vec<PlainRun>,
}

impl PlainEvidence {
    /// Returns how many calls with `key` ran.
    #[must_use]
    pub fn count(&self, key: &str) -> usize {
        let with_key = |run: &&PlainRun| run.key.as_deref() == Some(key);
        self.runs.iter().filter(with_key).count()
    }
}

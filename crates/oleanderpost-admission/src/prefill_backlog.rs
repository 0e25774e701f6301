//! [`Ahead`].

use oleanderpost_types::Tokens;
use serde::{Deserialize, Serialize};

/// Prefill that goes before a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillBacklog {
    /// Prompt tokens.
    pub tokens: Tokens,
    /// Pairs of tokens that attention must relate.
    pub pairs: u64,
}

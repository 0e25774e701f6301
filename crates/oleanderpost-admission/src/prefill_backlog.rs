//! [`PrefillBacklog`].

use oleanderpost_types::Tokens;
use serde::{Deserialize, Serialize};

/// Prefill work that an engine processes before a new prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillBacklog {
    /// Prompt tokens.
    pub tokens: Tokens,
    /// Token pairs for which attention is computed.
    pub pairs: u64,
}

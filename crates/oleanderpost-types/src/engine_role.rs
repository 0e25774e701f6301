//! [`EngineRole`].

use serde::{Deserialize, Serialize};

/// Phases of generation that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decoding.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decoding only.
    Decode,
}

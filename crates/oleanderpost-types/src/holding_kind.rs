//! [`HoldingKind`].

use serde::{Deserialize, Serialize};

/// Kind of a memory allocation on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldingKind {
    /// A stream that is waiting, running or can still be resumed.
    Stream,
    /// A reservation for a group of engines.
    Reservation,
    /// An exported KV cache.
    Export,
}

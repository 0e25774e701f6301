//! [`Holding`].

use serde::{Deserialize, Serialize};

use crate::{Attempt, HoldingKind, Millis, RequestKey, Tokens, VmId};

/// One allocation of memory on an engine (`GET /v1/holdings` returns a list of them).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Key of the request or reservation that holds the memory.
    pub key: RequestKey,
    /// Attempt that holds the memory.
    pub attempt: Attempt,
    /// Stream, reservation or exported cache.
    pub kind: HoldingKind,
    /// Size of the allocation.
    pub tokens: Tokens,
    /// VM that requested the memory.
    pub holder: Option<VmId>,
    /// Time since the memory was allocated.
    pub age: Millis,
}

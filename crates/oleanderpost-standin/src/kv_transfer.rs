//! [`KvExport`], [`KvCache`] and [`KvImported`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Attempt, RequestKey, Tokens, VmId};

/// Body of `POST /v1/kv/export`: a request to hold the cache of a stream's prompt for another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Key of the stream.
    pub key: RequestKey,
    /// Attempt of the stream.
    pub attempt: Attempt,
    /// VM that requests the export.
    pub holder: Option<VmId>,
}

/// An exported cache, and the body of `POST /v1/kv/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCache {
    /// Hashes of the blocks. Each hash covers the block and all blocks before it.
    pub blocks: Vec<u64>,
    /// Number of tokens in the blocks.
    pub tokens: Tokens,
}

/// Answer of `POST /v1/kv/import`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImported {
    /// Number of tokens of the imported prefix that are now in the engine's cache.
    pub tokens: Tokens,
}

//! [`AdmissionRequest`].

use oleanderpost_types::{
    AccountName, Attempt, Priority, RequestKey, ServiceName, Tokens, UpstreamId,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A request to be admitted to an upstream.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Service that the request addresses.
    pub service: ServiceName,
    /// Client account.
    pub account: AccountName,
    /// Idempotency key.
    pub key: RequestKey,
    /// Attempt number; only the first attempt counts against the account's rate limits.
    pub attempt: Attempt,
    /// Prompt length; zero for plain services.
    pub prompt: Tokens,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Priority of the account or service.
    pub priority: Priority,
    /// Fingerprints of the prompt's prefixes, shortest first.
    pub prefix: Vec<Fingerprint>,
    /// Upstreams to avoid because earlier attempts failed there.
    pub excluded: Vec<UpstreamId>,
}

/// Hash of a prompt prefix, used to find engines that have it cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Hash value.
    pub hash: u64,
    /// Number of prompt tokens covered by the hash.
    pub tokens: Tokens,
}

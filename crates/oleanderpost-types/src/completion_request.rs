//! [`CompletionRequest`].

use serde::{Deserialize, Serialize};

use crate::Prompt;

/// Default of [`CompletionRequest::max_tokens`].
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of `POST /v1/completions`, from callers to nodes and from nodes to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Service name in requests to nodes, model name in requests to engines.
    pub model: String,
    /// The prompt.
    pub prompt: Prompt,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

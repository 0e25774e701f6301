//! [`CompletionReply`].

use serde::{Deserialize, Serialize};

use crate::FinishReason;

/// Response body of a `POST /v1/completions` request without streaming.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionReply {
    /// The generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Why generation ended.
    pub finish_reason: FinishReason,
}

//! [`StreamEvent`].

use serde::{Deserialize, Serialize};

use crate::{FinishReason, Problem};

/// One server-sent event of a streamed answer.
///
/// On the wire the variant is the `event` field (`token`, `end`, `error`) and its
/// fields are the JSON of the `data` field. An answer without `end` is incomplete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StreamEvent {
    /// One or more generated tokens.
    Token {
        /// Number of tokens before this event.
        offset: u64,
        /// Number of tokens in this event.
        count: u64,
        /// Text of these tokens.
        text: String,
    },
    /// The answer is complete.
    End {
        /// Number of tokens of the complete answer.
        tokens: u64,
        /// Why generation ended.
        finish_reason: FinishReason,
    },
    /// The answer ended early because of an error.
    Error(Problem),
}

impl StreamEvent {
    /// Value of the `event` field.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Token { .. } => "token",
            Self::End { .. } => "end",
            Self::Error(_) => "error",
        }
    }
}

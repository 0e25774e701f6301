//! [`Prompt`].

use serde::{Deserialize, Serialize};

use crate::Tokens;

/// A prompt, given as text or as token ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Prompt {
    /// Plain text.
    Text(String),
    /// Token ids of the model's vocabulary.
    Tokens(Vec<u32>),
}

impl Prompt {
    /// Length in tokens: exact for token ids, an estimate for text.
    #[must_use]
    pub fn len(&self) -> Tokens {
        match self {
            Self::Text(text) => Tokens::estimate_from_text_len(text.len()),
            Self::Tokens(tokens) => Tokens::new(tokens.len() as u64),
        }
    }

    /// Whether the prompt is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == Tokens::new(0)
    }
}

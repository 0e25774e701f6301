//! [`GeneratedText`].

use std::fmt::Write;

use oleanderpost_types::{Attempt, RequestKey};

/// The text that one attempt at one request generates.
///
/// Each token's text names the request, the attempt and the token's offset, so that a lost,
/// doubled or foreign token and a splice of two attempts show in the answer itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedText {
    key: u32,
    attempt: Attempt,
}

impl GeneratedText {
    /// GeneratedText of an attempt.
    #[must_use]
    pub fn new(key: RequestKey, attempt: Attempt) -> Self {
        let key = key.uuid().as_u128() as u32;
        Self { key, attempt }
    }

    /// GeneratedText that produced the first token of `text`, for the request `key`.
    ///
    /// `None` if the text doesn't come from that request.
    #[must_use]
    pub fn parse(key: RequestKey, text: &str) -> Option<Self> {
        let mut parts = text.split(' ').next()?.split('/');
        let name = u32::from_str_radix(parts.next()?, 16).ok()?;
        let attempt = parts.next()?.parse().ok()?;
        let generated_text = Self::new(key, attempt);
        (name == generated_text.key).then_some(generated_text)
    }

    /// Text of the tokens from offset `from` up to, not including, `to`.
    #[must_use]
    pub fn text(&self, from: u64, to: u64) -> String {
        let mut text = String::new();
        for offset in from..to {
            let result = write!(text, "{:08x}/{}/{offset} ", self.key, self.attempt);
            result.expect("writing to a string does not fail");
        }
        text
    }
}

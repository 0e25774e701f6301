//! [`PromptForm`].

use std::fmt::Write;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use oleanderpost::types::{BYTES_PER_TOKEN, Tokens};

/// Format in which a load run sends prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum PromptForm {
    /// Array of token numbers.
    Tokens,
    /// Text string.
    Text,
}

/// Description of a prompt whose random content is derived from seeds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptSpec {
    pub(crate) form: PromptForm,
    pub(crate) len: Tokens,
    pub(crate) seed: u64,
    /// Number of leading tokens that are derived from `shared_prefix_seed`.
    pub(crate) shared_prefix: Tokens,
    pub(crate) shared_prefix_seed: u64,
}

impl PromptSpec {
    /// Builds the body of a completion request with this prompt.
    pub(crate) fn request_body(&self, model: &str, max_tokens: u32) -> Bytes {
        let digits = self.digits();
        let mut body = format!("{{\"model\":{},\"prompt\":", json!(model));
        match self.form {
            PromptForm::Tokens => push_tokens(&mut body, &digits),
            PromptForm::Text => push_text(&mut body, &digits),
        }
        let written = write!(body, ",\"max_tokens\":{max_tokens},\"stream\":true}}");
        written.expect("writing to a string does not fail");
        body.into()
    }

    /// One random decimal digit for each token.
    fn digits(&self) -> Vec<u8> {
        let len = self.len.get() as usize;
        let shared_prefix = (self.shared_prefix.get() as usize).min(len);
        let mut digits = vec![0; len];
        ChaCha8Rng::seed_from_u64(self.shared_prefix_seed).fill_bytes(&mut digits[..shared_prefix]);
        ChaCha8Rng::seed_from_u64(self.seed).fill_bytes(&mut digits[shared_prefix..]);
        for digit in &mut digits {
            *digit = b'0' + *digit % 10;
        }
        digits
    }
}

fn push_tokens(body: &mut String, digits: &[u8]) {
    body.reserve(digits.len() * 2);
    body.push('[');
    for (i, digit) in digits.iter().enumerate() {
        if i > 0 {
            body.push(',');
        }
        body.push(char::from(*digit));
    }
    body.push(']');
}

/// Appends one word of [`BYTES_PER_TOKEN`] bytes for each token.
fn push_text(body: &mut String, digits: &[u8]) {
    body.reserve(digits.len() * BYTES_PER_TOKEN as usize);
    body.push('"');
    for digit in digits {
        body.push_str("to");
        body.push(char::from(*digit));
        body.push(' ');
    }
    body.push('"');
}

//! [`Tokens`].

number_type! {
    /// A count of tokens.
    Tokens(u64)
}

/// Bytes of text counted as one token when estimating the length of a text.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Estimates the number of tokens in `len` bytes of text, rounded up.
    #[must_use]
    pub fn estimate_from_text_len(len: usize) -> Self {
        Self((len as u64).div_ceil(BYTES_PER_TOKEN))
    }
}

//! [`Tokens`].

number_type! {
    /// A count of tokens.
    Tokens(u64)
}

/// Bytes of text that are counted as one token where only text is known.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// Estimate of the tokens in `len` bytes of text, rounded up.
    #[must_use]
    pub fn estimate_from_text_len(len: usize) -> Self {
        Self((len as u64).div_ceil(BYTES_PER_TOKEN))
    }
}

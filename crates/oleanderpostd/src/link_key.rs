//! [`LinkKey`].

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Key shared by all nodes, which authenticates links. Its debug output does not contain the key.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey(String);

impl LinkKey {
    /// The key as bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl std::fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LinkKey(..)")
    }
}

impl std::str::FromStr for LinkKey {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() < MIN_KEY_BYTES {
            return Err("a link key has at least 16 bytes");
        }
        Ok(Self(text.to_owned()))
    }
}

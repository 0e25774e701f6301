//! [`TokenHash`].

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Error, Result};

/// SHA-256 hash of a bearer token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// Hashes a bearer token.
    #[must_use]
    pub fn of_token(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Compares two hashes in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::fmt::Display for TokenHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl std::str::FromStr for TokenHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut hash = [0; 32];
        hex::decode_to_slice(text, &mut hash).map_err(|_| Error::TokenHash)?;
        Ok(Self(hash))
    }
}

impl TryFrom<String> for TokenHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<TokenHash> for String {
    fn from(hash: TokenHash) -> Self {
        hash.to_string()
    }
}

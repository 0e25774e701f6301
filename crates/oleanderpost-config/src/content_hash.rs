//! [`ContentHash`].

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};

/// SHA-256 hash of a file's bytes, displayed in the format of `sha256sum`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentHash([u8; 32]);

impl ContentHash {
    /// Hashes the content of a file.
    #[must_use]
    pub fn of_content(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// The bytes of the hash.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl std::fmt::Debug for ContentHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Display::fmt(self, f)
    }
}

impl std::fmt::Display for ContentHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(&hex::encode(self.0))
    }
}

impl std::str::FromStr for ContentHash {
    type Err = crate::Error;

    fn from_str(text: &str) -> crate::Result<Self> {
        let mut hash = [0; 32];
        hex::decode_to_slice(text, &mut hash).map_err(|_| crate::Error::ContentHash)?;
        Ok(Self(hash))
    }
}

impl Serialize for ContentHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ContentHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return text.parse().map_err(D::Error::custom);
        }
        let bytes = crate::blob::Blob::deserialize(deserializer)?;
        let hash = bytes.as_slice().try_into().map_err(D::Error::custom)?;
        Ok(Self(hash))
    }
}

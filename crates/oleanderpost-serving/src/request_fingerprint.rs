//! [`RequestFingerprint`].

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Hash of what a request asks of its upstream. A request that comes again has the same one, on whichever node and
/// connection it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u64, u64);

/// Error for text that is not a [`RequestFingerprint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a fingerprint of 32 hexadecimal digits")]
pub struct InvalidFingerprint;

impl RequestFingerprint {
    /// Hashes the fields of a request. Their order matters, and each ends where the next one begins.
    pub fn from_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let word = |at: usize| {
            let bytes = digest[at..at + 8].iter();
            bytes.fold(0, |word, byte| (word << 8) | u64::from(*byte))
        };
        Self(word(0), word(8))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl FromStr for RequestFingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 || !text.is_ascii() {
            return Err(InvalidFingerprint);
        }
        let (high, low) = text.split_at(16);
        let word = |text| u64::from_str_radix(text, 16).map_err(|_| InvalidFingerprint);
        Ok(Self(word(high)?, word(low)?))
    }
}

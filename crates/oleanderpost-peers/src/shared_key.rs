//! [`SharedKey`].

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::{Error, Result};

/// Minimum length of a shared key in bytes.
pub const MIN_KEY_LEN: usize = 16;

/// Secret that all nodes of one fleet share; nodes prove that they have it in the handshake of a link.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// Creates a key from the secret.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] when the secret is shorter than [`MIN_KEY_LEN`].
    pub fn new(secret: &[u8]) -> Result<Self> {
        if secret.len() < MIN_KEY_LEN {
            return Err(Error::Key("shorter than 16 bytes"));
        }
        Ok(Self(secret.to_vec()))
    }

    fn mac(&self, label: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(label);
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// Computes the HMAC-SHA256 proof over `label` and `parts`.
    pub(crate) fn prove(&self, label: &[u8], parts: &[&[u8]]) -> Vec<u8> {
        self.mac(label, parts).finalize().into_bytes().to_vec()
    }

    /// Verifies in constant time that `proof` was computed with the same secret.
    pub(crate) fn verify(&self, label: &[u8], parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(label, parts).verify_slice(proof).is_ok()
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey(..)")
    }
}

impl std::str::FromStr for SharedKey {
    type Err = Error;

    /// Parses the secret from hexadecimal digits.
    fn from_str(text: &str) -> Result<Self> {
        let secret = hex::decode(text.trim()).map_err(|_| Error::Key("not hexadecimal"))?;
        Self::new(&secret)
    }
}

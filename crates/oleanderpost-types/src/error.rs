//! The error type of this crate.

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Error for a text that is not a valid identifier or number.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A name is empty, too long or contains a character other than `a-z 0-9 . _ -`.
    #[error("{kind}: {text:?} is not a name: 1 to 64 characters of a-z, 0-9, '.', '_', '-'")]
    Name {
        /// Type of the identifier.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
    /// A number or UUID cannot be parsed.
    #[error("{kind}: {text:?} does not parse")]
    Number {
        /// Expected type.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

pub(crate) fn check_name(kind: &'static str, text: &str) -> Result<()> {
    let allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    if !text.is_empty() && text.len() <= MAX_NAME_LEN && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(Error::Name {
        kind,
        text: text.to_owned(),
    })
}

//! [`Abstention`].

use serde::{Deserialize, Serialize};

/// Why a witness neither grants nor denies a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum Abstention {
    /// The key is not a UUID version 7.
    KeyVersion,
    /// The key was issued too long ago; the witness may have dropped it from its table.
    KeyTooOld,
    /// The key's reference time is in the future.
    KeyFromFuture,
    /// The witness has no VM list.
    NoList,
    /// According to its own VM list the witness is not responsible for the key.
    NotResponsible,
    /// Too few nodes confirmed that they used a VM list by which the witness is responsible at the key's
    /// reference time. The witness started or became responsible too late, skipped a revision, or is
    /// partitioned.
    Unproven,
    /// The witness's table of keys is full.
    Full,
}

impl std::fmt::Display for Abstention {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::KeyVersion => "key is not a UUID version 7",
            Self::KeyTooOld => "key too old",
            Self::KeyFromFuture => "key from the future",
            Self::NoList => "no VM list",
            Self::NotResponsible => "not responsible",
            Self::Unproven => "responsibility not proven",
            Self::Full => "table full",
        })
    }
}

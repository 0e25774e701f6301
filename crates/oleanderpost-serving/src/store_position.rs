//! [`StorePosition`].

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Position in the change history of the store.
///
/// A store that returns from a copy has lost the changes since that copy and gives their revisions out again. It then
/// begins a new era, so positions of different eras compare by the era alone.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Number of the history; 0 if the store does not state any.
    #[serde(default)]
    pub era: u64,
    /// Number of the last change within the history.
    pub revision: u64,
}

/// The text is not a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a position is an era and a revision, separated by a dot")]
pub struct InvalidPosition;

impl StorePosition {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = InvalidPosition;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').ok_or(InvalidPosition)?;
        let parse = |text: &str| text.parse().map_err(|_| InvalidPosition);
        Ok(Self::new(parse(era)?, parse(revision)?))
    }
}

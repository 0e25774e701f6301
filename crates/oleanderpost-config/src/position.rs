//! [`Positioned`].

use serde::{Deserialize, Deserializer};
use serde_saphyr::{Location, Spanned};

/// Line and column in a file, both starting at 1; 0 if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Position {
    line: u32,
    column: u32,
}

impl Position {
    /// Unknown position.
    pub(crate) const UNKNOWN: Self = Self { line: 0, column: 0 };

    pub(crate) const fn line(self) -> u32 {
        self.line
    }

    pub(crate) const fn column(self) -> u32 {
        self.column
    }
}

impl From<Location> for Position {
    fn from(location: Location) -> Self {
        let number = |value| u32::try_from(value).unwrap_or(u32::MAX);
        Self {
            line: number(location.line()),
            column: number(location.column()),
        }
    }
}

/// A value with its position, in a fraction of the size of [`Spanned`].
#[derive(Clone, Debug)]
pub(crate) struct Positioned<T> {
    pub(crate) value: T,
    pub(crate) position: Position,
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Positioned<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let Spanned {
            value, referenced, ..
        } = Spanned::deserialize(deserializer)?;
        Ok(Self {
            value,
            position: referenced.into(),
        })
    }
}

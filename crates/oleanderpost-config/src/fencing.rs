//! [`Fencing`].

use serde::{Deserialize, Serialize};

/// What engines do with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// They refuse it.
    Honoured,
    /// They ignore the number.
    #[default]
    Ignored,
}

impl Fencing {
    pub(crate) const VARIANTS: [(&str, Self); 2] =
        [("honoured", Self::Honoured), ("ignored", Self::Ignored)];
}

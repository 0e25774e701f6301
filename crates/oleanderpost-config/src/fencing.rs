//! [`Fencing`].

use serde::{Deserialize, Serialize};

/// How engines handle an order with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Engines refuse the order.
    Honoured,
    /// Engines ignore the fencing number.
    #[default]
    Ignored,
}

impl Fencing {
    pub(crate) const VARIANTS: [(&str, Self); 2] =
        [("honoured", Self::Honoured), ("ignored", Self::Ignored)];
}

//! [`OrderCheck`].

use serde::{Deserialize, Serialize};

/// Whether upstreams check who gives an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAuthentication {
    /// They check it.
    Authenticated,
    /// They take an order from anyone.
    #[default]
    Open,
}

impl OrderAuthentication {
    pub(crate) const VARIANTS: [(&str, Self); 2] =
        [("authenticated", Self::Authenticated), ("open", Self::Open)];
}

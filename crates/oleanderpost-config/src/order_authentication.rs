//! [`OrderAuthentication`].

use serde::{Deserialize, Serialize};

/// Whether the upstreams of a service authenticate the sender of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAuthentication {
    /// Upstreams authenticate the sender.
    Authenticated,
    /// Upstreams accept orders from any sender.
    #[default]
    Open,
}

impl OrderAuthentication {
    pub(crate) const VARIANTS: [(&str, Self); 2] =
        [("authenticated", Self::Authenticated), ("open", Self::Open)];
}

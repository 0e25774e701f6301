//! [`ServiceKind`].

use serde::{Deserialize, Serialize};

/// Kind of the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Engines,
    /// Plain HTTP services.
    Plain,
}

//! [`Quarantine`].

use serde::{Deserialize, Serialize};

use crate::{PartId, ServiceName};

/// Parts of prompts that crash engines, as one node tells another. Requests whose prompts contain all of them are
/// refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Service whose engines crash.
    pub service: ServiceName,
    /// The parts.
    pub parts: Vec<PartId>,
    /// Time since the last crash, in milliseconds.
    pub age_ms: f64,
    /// Time left, in milliseconds.
    pub left_ms: f64,
}

impl std::fmt::Display for Quarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: ", self.service)?;
        for (n, part) in self.parts.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        write!(f, " for {:.0} s", self.left_ms / 1e3)
    }
}

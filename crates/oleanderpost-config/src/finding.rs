//! [`Finding`].

use serde::{Deserialize, Serialize};

/// One error in a fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// Path of the field, such as `services[2].upstreams[0].address`; empty for the file itself.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// What is allowed instead.
    pub allowed: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}; allowed: {}", self.message, self.allowed)
    }
}

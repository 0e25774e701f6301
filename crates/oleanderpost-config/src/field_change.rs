//! [`FieldChange`].

use serde::{Deserialize, Serialize};

/// A changed field with its old and new value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Old value.
    pub before: String,
    /// New value.
    pub after: String,
}

//! [`Change`].

use serde::{Deserialize, Serialize};

use crate::{Action, ChangeKind, FieldChange};

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Whether the object is added, removed or changed.
    pub action: Action,
    /// Kind of the object.
    pub kind: ChangeKind,
    /// Name of the object; `SERVICE/UPSTREAM` for an upstream.
    pub name: String,
    /// The fields that differ; empty if the object is added or removed.
    pub fields: Vec<FieldChange>,
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {}", self.action, self.kind, self.name)?;
        for change in &self.fields {
            write!(
                f,
                "\n  {}: {} -> {}",
                change.field, change.before, change.after
            )?;
        }
        Ok(())
    }
}

//! [`ConfigEntry`].

use serde::{Deserialize, Serialize};

use crate::{FileName, Revision};

/// One fleet file as stored in the configuration service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Name of the file.
    pub name: FileName,
    /// Revision of its last change.
    pub revision: Revision,
    /// Content in YAML; `None` if the file was deleted.
    pub content: Option<String>,
}

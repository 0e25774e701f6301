//! [`SourceState`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Generation, Revision};

use crate::{ContentHash, Version};

/// State of a file in the configuration service as last read, whether or not its content is valid. States
/// are ordered by revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceState {
    /// Revision of the last change.
    pub revision: Revision,
    /// Hash of the content; `None` if the configuration service has no such file.
    pub hash: Option<ContentHash>,
    /// Generation, if the content contains one.
    pub generation: Option<Generation>,
}

impl SourceState {
    /// Version of this content if it is accepted.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        Some(Version {
            generation: self.generation?,
            revision: self.revision,
            hash: self.hash?,
        })
    }
}

//! [`Sighting`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Generation, Revision};

use crate::{ContentHash, Version};

/// What the platform last showed under a file's name, accepted or not. The greater revision counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceState {
    /// Revision of the change.
    pub revision: Revision,
    /// Hash of the content; `None` if the platform has no such file.
    pub hash: Option<ContentHash>,
    /// Generation, if the content states one.
    pub generation: Option<Generation>,
}

impl SourceState {
    /// The version that this content has if it is accepted.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        Some(Version {
            generation: self.generation?,
            revision: self.revision,
            hash: self.hash?,
        })
    }
}

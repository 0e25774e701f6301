//! [`Version`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Generation, Revision};

use crate::ContentHash;

/// Version of a file's content. The highest version is in force. Versions are ordered by generation, then
/// by the revision in the configuration service, then by hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Generation written in the file.
    pub generation: Generation,
    /// Revision that the configuration service assigned to the change.
    pub revision: Revision,
    /// Hash of the content.
    pub hash: ContentHash,
}

impl Version {
    /// Whether both versions have the same generation but different contents.
    #[must_use]
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.generation == other.generation && self.hash != other.hash
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            generation,
            revision,
            hash,
        } = self;
        write!(
            f,
            "generation {generation} revision {revision} hash {hash:.12}"
        )
    }
}

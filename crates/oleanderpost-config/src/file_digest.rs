//! [`FileDigest`].

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use oleanderpost_types::FileName;

use crate::{SourceState, Version};

/// State of a file on one node, without its content. Nodes compare digests to find out what they lack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileDigest {
    /// Name of the file.
    pub name: FileName,
    /// Highest accepted version.
    pub accepted: Option<Version>,
    /// Highest version with the same generation and another content.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Version>,
    /// Last known state of the file in the configuration service.
    pub seen: Option<SourceState>,
}

impl FileDigest {
    /// Hash of all fields. Two nodes whose sums of fingerprints over all files are equal have the same state.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.name.as_str().as_bytes());
        for version in [self.accepted, self.conflict] {
            let Some(version) = version else {
                hasher.update(&[0]);
                continue;
            };
            hasher.update(&[1]);
            hasher.update(&version.generation.get().to_le_bytes());
            hasher.update(&version.revision.get().to_le_bytes());
            hasher.update(version.hash.as_bytes());
        }
        if let Some(seen) = self.seen {
            hasher.update(&seen.revision.get().to_le_bytes());
            hasher.update(seen.hash.as_ref().map_or(&[][..], |hash| hash.as_bytes()));
        }
        hasher.digest()
    }
}

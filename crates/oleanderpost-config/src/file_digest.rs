//! [`FileDigest`].

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use oleanderpost_types::FileName;

use crate::{SourceState, Version};

/// What a node knows of a file, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileDigest {
    /// Name of the file.
    pub name: FileName,
    /// Greatest version accepted.
    pub accepted: Option<Version>,
    /// Greatest other content of the same generation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Version>,
    /// What the platform last showed.
    pub seen: Option<SourceState>,
}

impl FileDigest {
    /// Hash over all fields. The sum over all files tells whether two nodes know the same.
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

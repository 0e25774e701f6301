//! [`FileStatus`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::FileName;

use crate::{SourceState, Verdict, Version};

/// State of one file on one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileStatus {
    /// Name of the file.
    pub name: FileName,
    /// Version in force.
    pub accepted: Option<Version>,
    /// Whether the version in force deletes the file.
    pub deleted: bool,
    /// Another content of the same generation: two operators wrote at once.
    pub conflict: Option<Version>,
    /// What the platform last showed.
    pub seen: Option<SourceState>,
    /// What became of it.
    pub verdict: Verdict,
}

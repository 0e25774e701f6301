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
    /// Version with the same generation and another content: two operators wrote concurrently.
    pub conflict: Option<Version>,
    /// Last known state of the file in the configuration service.
    pub seen: Option<SourceState>,
    /// Whether the content of [`Self::seen`] is in force, or the reason why it is not.
    pub verdict: Verdict,
}

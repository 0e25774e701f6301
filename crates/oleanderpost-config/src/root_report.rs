//! [`RootReport`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Millis, VmId};

use crate::FileDigest;

/// Report of all nodes that have the same files in the same versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootReport {
    /// Digests of their files.
    pub digests: Vec<FileDigest>,
    /// Number of these nodes.
    pub nodes: u32,
    /// Names of these nodes, up to a limit.
    pub vms: Vec<VmId>,
    /// Age of the oldest report.
    pub age: Millis,
}

//! [`ConfigStatus`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{FileName, Millis, VmId};

use crate::{ConfigCounters, FileStatus};

/// State of the configuration on one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// VM of the node.
    pub vm: VmId,
    /// Whether the initial reads from the configuration service and the peers are done.
    pub ready: bool,
    /// Whether the node reads the configuration service.
    pub watching: bool,
    /// Time since the last response of the configuration service to this node, if there was one.
    pub source_age: Option<Millis>,
    /// Status of each file.
    pub files: Vec<FileStatus>,
    /// Names defined by more than one file; the definition of the first file is in force.
    pub overlaps: Vec<Overlap>,
    /// Size of the held contents and payloads, in bytes.
    pub held_bytes: u64,
    /// Counters of the node since its start.
    pub counters: ConfigCounters,
}

/// A name defined by two files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// What is defined twice, such as `service booking`.
    pub name: String,
    /// File whose definition is in force.
    pub in_force: FileName,
    /// File whose definition is ignored.
    pub other: FileName,
}

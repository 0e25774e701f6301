//! [`FleetStatus`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{DataCentre, FileName, Millis, VmId};

use crate::Version;

/// Which versions the nodes of the whole fleet hold, as they reported it to their watchers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Nodes in the platform's list.
    pub nodes: u32,
    /// Nodes that reported lately.
    pub reporting: u32,
    /// The files.
    pub files: Vec<FileHolders>,
    /// Data centres whose watchers gave no answer.
    pub silent: Vec<DataCentre>,
    /// Age of the oldest report.
    pub age: Millis,
}

impl FleetStatus {
    /// Whether every node holds `generation` of a file, or a greater one.
    #[must_use]
    pub fn holds_everywhere(
        &self,
        name: &FileName,
        generation: oleanderpost_types::Generation,
    ) -> bool {
        let file = self.files.iter().find(|file| file.name == *name);
        let holding = file.map_or(0, |file| {
            let holders = file.holders.iter();
            let at_least =
                holders.filter(|h| h.accepted.is_some_and(|v| v.generation >= generation));
            at_least.map(|holders| holders.nodes).sum()
        });
        self.reporting == self.nodes && holding == self.nodes
    }
}

/// Who holds which version of one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileHolders {
    /// Name of the file.
    pub name: FileName,
    /// The versions, the greatest first.
    pub holders: Vec<VersionHolders>,
}

/// Nodes that hold one version of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHolders {
    /// Version in force there; `None` where the file is unknown.
    pub accepted: Option<Version>,
    /// Count of the nodes.
    pub nodes: u32,
    /// Some of them.
    pub vms: Vec<VmId>,
}

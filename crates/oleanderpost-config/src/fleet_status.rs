//! [`FleetStatus`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{DataCentre, FileName, Millis, VmId};

use crate::Version;

/// Versions held by all nodes of the fleet, from their reports to the watchers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Number of nodes in the platform's VM list.
    pub nodes: u32,
    /// Number of nodes with a recent report.
    pub reporting: u32,
    /// Versions held of each file.
    pub files: Vec<FileHolders>,
    /// Data centres whose watchers did not respond.
    pub silent: Vec<DataCentre>,
    /// Age of the oldest report.
    pub age: Millis,
}

impl FleetStatus {
    /// Whether every node holds `generation` of a file or a higher one.
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

/// Versions of one file and the nodes that hold them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileHolders {
    /// Name of the file.
    pub name: FileName,
    /// The versions, the highest first.
    pub holders: Vec<VersionHolders>,
}

/// Nodes that hold one version of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHolders {
    /// Version in force on these nodes; `None` if they do not know the file.
    pub accepted: Option<Version>,
    /// Number of nodes.
    pub nodes: u32,
    /// Names of some of these nodes.
    pub vms: Vec<VmId>,
}

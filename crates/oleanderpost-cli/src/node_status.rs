//! [`NodeStatus`].

use std::fmt;

use serde::{Deserialize, Serialize};

use oleanderpost::{
    config::{ConfigStatus, FileStatus, Findings, FleetStatus, Verdict},
    types::{FileName, Generation},
};

/// Response of a node's `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct NodeStatus {
    /// Status of the node that responds.
    pub(crate) node: ConfigStatus,
    /// Status of the fleet.
    pub(crate) fleet: FleetStatus,
}

impl NodeStatus {
    /// Findings for which the node refuses `generation` of a file, or a greater one.
    pub(crate) fn refusal(&self, name: &FileName, generation: Generation) -> Option<&Findings> {
        let file = self.node.files.iter().find(|file| file.name == *name)?;
        let seen = file.seen?.generation?;
        match &file.verdict {
            Verdict::Refused(findings) if seen >= generation => Some(findings),
            _ => None,
        }
    }

    /// Whether the node is ready and each file it knows is in force on every node, without conflict or
    /// refusal.
    pub(crate) fn all_files_in_force(&self) -> bool {
        let settled = |file: &FileStatus| {
            let in_force = file
                .accepted
                .is_none_or(|version| self.fleet.holds_everywhere(&file.name, version.generation));
            in_force && file.conflict.is_none() && !matches!(file.verdict, Verdict::Refused(_))
        };
        self.node.ready && self.node.files.iter().all(settled)
    }
}

impl fmt::Display for NodeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (node, fleet) = (&self.node, &self.fleet);
        let ready = if node.ready { "ready" } else { "not ready" };
        writeln!(f, "{}: {ready}", node.vm)?;
        writeln!(
            f,
            "fleet: {} of {} nodes report",
            fleet.reporting, fleet.nodes
        )?;
        for data_centre in &fleet.silent {
            writeln!(f, "  {data_centre}: its watchers do not answer")?;
        }
        for file in &node.files {
            self.write_file(f, file)?;
        }
        for overlap in &node.overlaps {
            writeln!(
                f,
                "{} is defined in {} and {}: the first counts",
                overlap.name, overlap.in_force, overlap.other
            )?;
        }
        Ok(())
    }
}

impl NodeStatus {
    fn write_file(&self, f: &mut fmt::Formatter<'_>, file: &FileStatus) -> fmt::Result {
        let deleted = if file.deleted { ", deleted" } else { "" };
        match file.accepted {
            Some(version) => writeln!(f, "{}: {version}{deleted}", file.name)?,
            None => writeln!(f, "{}: nothing in force", file.name)?,
        }
        if let Some(other) = file.conflict {
            writeln!(f, "  conflict with {other}")?;
        }
        if let Verdict::Refused(findings) = &file.verdict {
            writeln!(f, "  the newest content is refused:")?;
            findings
                .iter()
                .try_for_each(|finding| writeln!(f, "  {finding}"))?;
        }
        let file_holders = self
            .fleet
            .files
            .iter()
            .filter(|holders| holders.name == file.name);
        for holders in file_holders.flat_map(|file| &file.holders) {
            let held = match holders.accepted {
                Some(version) => format!("generation {}", version.generation),
                None => "nothing".to_owned(),
            };
            let (nodes, all) = (holders.nodes, self.fleet.nodes);
            writeln!(f, "  {held} on {nodes} of {all} nodes")?;
        }
        Ok(())
    }
}

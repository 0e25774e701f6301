//! [`ReportTable`].

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use oleanderpost_types::{FileName, VmId};
use tokio::time::Instant;

use crate::{FileDigest, RootReport};

/// Maximum number of nodes listed by name in one report.
const MAX_VMS: usize = 16;

/// Reports that this node received from the nodes of its data centre.
#[derive(Debug, Default)]
pub(crate) struct ReportTable {
    entries: BTreeMap<VmId, ReportEntry>,
    digests_by_root: HashMap<u64, Arc<Vec<FileDigest>>>,
}

#[derive(Debug)]
struct ReportEntry {
    root: u64,
    received_at: Instant,
}

impl ReportTable {
    /// Whether the file digests behind a root fingerprint are known.
    pub(crate) fn knows_root(&self, root: u64) -> bool {
        self.digests_by_root.contains_key(&root)
    }

    /// Stores the file digests behind a root fingerprint.
    pub(crate) fn add_root(&mut self, root: u64, digests: Vec<FileDigest>) {
        self.digests_by_root.insert(root, Arc::new(digests));
    }

    /// Records the report of a node.
    pub(crate) fn record(&mut self, vm: &VmId, root: u64) {
        let received_at = Instant::now();
        self.entries
            .insert(vm.clone(), ReportEntry { root, received_at });
    }

    /// Removes reports older than `age`, and the roots without a remaining report.
    pub(crate) fn remove_older_than(&mut self, age: Duration) {
        self.entries
            .retain(|_, entry| entry.received_at.elapsed() <= age);
        let entries = &self.entries;
        self.digests_by_root
            .retain(|root, _| entries.values().any(|entry| entry.root == *root));
    }

    /// The reports, grouped by root; limited to one file if it is given.
    pub(crate) fn grouped_by_root(&self, file: Option<&FileName>) -> Vec<RootReport> {
        let mut by_root: BTreeMap<u64, Vec<(&VmId, &ReportEntry)>> = BTreeMap::new();
        for (vm, entry) in &self.entries {
            by_root.entry(entry.root).or_default().push((vm, entry));
        }
        let groups = by_root.into_iter().filter_map(|(root, entries)| {
            let digests = self.digests_by_root.get(&root)?;
            let is_requested = |digest: &&FileDigest| file.is_none_or(|name| digest.name == *name);
            let oldest = entries
                .iter()
                .map(|(_, entry)| entry.received_at.elapsed())
                .max();
            Some(RootReport {
                digests: digests.iter().filter(is_requested).cloned().collect(),
                nodes: u32::try_from(entries.len()).unwrap_or(u32::MAX),
                vms: entries
                    .iter()
                    .take(MAX_VMS)
                    .map(|(vm, _)| (*vm).clone())
                    .collect(),
                age: oldest.unwrap_or_default().into(),
            })
        });
        groups.collect()
    }
}

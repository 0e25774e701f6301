//! [`ConfigStore`].

use std::collections::BTreeMap;

use oleanderpost_types::{ConfigEntry, ConfigReply, FileName, Revision};

/// Fleet files with their whole history.
#[derive(Debug, Default)]
pub(crate) struct ConfigStore {
    changes: Vec<ConfigEntry>,
}

impl ConfigStore {
    /// Newest revision.
    pub(crate) fn revision(&self) -> Revision {
        Revision::new(self.changes.len() as u64)
    }

    /// Stores a file, or its deletion.
    pub(crate) fn put(&mut self, name: FileName, content: Option<String>) -> Revision {
        let revision = Revision::new(self.changes.len() as u64 + 1);
        self.changes.push(ConfigEntry {
            name,
            revision,
            content,
        });
        revision
    }

    /// Files changed after `after`, as a replica knows them that holds revisions up to `newest`.
    pub(crate) fn changes_after(&self, after: Revision, newest: Revision) -> ConfigReply {
        let newest = newest.min(self.revision());
        let known = &self.changes[..newest.get() as usize];
        let latest: BTreeMap<&FileName, &ConfigEntry> =
            known.iter().map(|entry| (&entry.name, entry)).collect();
        let changed = latest.into_values().filter(|entry| entry.revision > after);
        ConfigReply {
            revision: newest,
            entries: changed.cloned().collect(),
        }
    }
}

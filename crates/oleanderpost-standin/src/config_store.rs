//! [`ConfigStore`].

use std::collections::BTreeMap;

use oleanderpost_types::{ConfigEntry, ConfigReply, FileName, Revision};

/// Fleet files with their complete history.
#[derive(Debug, Default)]
pub(crate) struct ConfigStore {
    changes: Vec<ConfigEntry>,
}

impl ConfigStore {
    /// Returns the newest revision.
    pub(crate) fn revision(&self) -> Revision {
        Revision::new(self.changes.len() as u64)
    }

    /// Stores a file, or its deletion if `content` is `None`.
    pub(crate) fn put(&mut self, name: FileName, content: Option<String>) -> Revision {
        let revision = Revision::new(self.changes.len() as u64 + 1);
        self.changes.push(ConfigEntry {
            name,
            revision,
            content,
        });
        revision
    }

    /// Returns the files changed after `after`, as seen by a replica that holds revisions up to `newest`.
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

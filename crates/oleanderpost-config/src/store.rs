//! [`Store`].

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use oleanderpost_types::{ConfigEntry, FileName, Revision};

use crate::{
    Check, ContentHash, FileDigest, FileStatus, Overlap, Payload, Snapshot, SourceState, Version,
    file_entry::FileEntry,
};

/// A content with the result of its check, ready to be merged.
#[derive(Debug)]
pub(crate) struct CheckedContent {
    pub(crate) hash: ContentHash,
    pub(crate) content: Arc<str>,
    pub(crate) check: Check,
}

impl CheckedContent {
    pub(crate) fn new(content: Arc<str>, newest_format: u64) -> Self {
        Self {
            hash: ContentHash::of_content(content.as_bytes()),
            check: Check::with_newest_format(content.as_bytes(), newest_format),
            content,
        }
    }
}

/// State of all files on a node.
#[derive(Debug, Default)]
pub(crate) struct Store {
    files: BTreeMap<FileName, FileEntry>,
    /// Sum of the fingerprints of all files.
    root: u64,
}

/// Changes made by a merge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MergeResult {
    /// The digest of the file changed, so that peers may lack the change.
    pub(crate) digest_changed: bool,
    /// The configuration in force changed.
    pub(crate) in_force_changed: bool,
}

impl Store {
    pub(crate) const fn root(&self) -> u64 {
        self.root
    }

    pub(crate) fn file(&self, name: &FileName) -> Option<&FileEntry> {
        self.files.get(name)
    }

    pub(crate) fn digests(&self) -> Vec<FileDigest> {
        let files = self.files.iter();
        files.map(|(name, entry)| entry.digest(name)).collect()
    }

    pub(crate) fn digest(&self, name: &FileName) -> Option<FileDigest> {
        self.files.get(name).map(|entry| entry.digest(name))
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let accepted = self.files.values().filter_map(FileEntry::accepted);
        Snapshot::from_files(accepted.map(|accepted| accepted.file.as_ref()))
    }

    /// Hashes of the contents that this node must fetch before it can merge `digest`.
    pub(crate) fn contents_to_fetch(&self, digest: &FileDigest) -> Vec<ContentHash> {
        match self.files.get(&digest.name) {
            Some(entry) => entry.contents_to_fetch(digest),
            None => FileEntry::default().contents_to_fetch(digest),
        }
    }

    /// Hashes of the contents of one file that this node holds.
    pub(crate) fn held_hashes(&self, name: &FileName) -> Vec<ContentHash> {
        self.files
            .get(name)
            .map(FileEntry::held_hashes)
            .unwrap_or_default()
    }

    /// Whether `digest` contains anything that this node does not have.
    pub(crate) fn is_behind(&self, digest: &FileDigest) -> bool {
        match self.files.get(&digest.name) {
            Some(entry) => entry.is_behind(digest),
            None => FileEntry::default().is_behind(digest),
        }
    }

    /// Whether this node has anything that `digest` does not contain.
    pub(crate) fn is_ahead(&self, digest: &FileDigest) -> bool {
        let Some(own) = self.digest(&digest.name) else {
            return false;
        };
        own.accepted > digest.accepted || own.seen > digest.seen || own.conflict > digest.conflict
    }

    /// Payloads of the contents `hashes` of one file, for a node that has the contents `have`.
    pub(crate) fn payloads(
        &mut self,
        name: &FileName,
        hashes: &[ContentHash],
        have: &[ContentHash],
    ) -> Vec<Arc<Payload>> {
        let Some(entry) = self.files.get_mut(name) else {
            return Vec::new();
        };
        let hashes = hashes.iter();
        hashes
            .flat_map(|hash| entry.payloads(*hash, have))
            .collect()
    }

    /// A payload of the content in force, if it is small enough for the first offer.
    pub(crate) fn inline_payloads(&self, digest: &FileDigest, limit: usize) -> Vec<Arc<Payload>> {
        let hash = digest.accepted.map(|version| version.hash);
        let entry = self.files.get(&digest.name);
        let payload = hash.and_then(|hash| entry?.inline_payload(hash, limit));
        payload.into_iter().collect()
    }

    /// State of each file.
    pub(crate) fn statuses(&self) -> Vec<FileStatus> {
        let files = self.files.iter();
        files
            .map(|(name, entry)| FileStatus {
                name: name.clone(),
                accepted: entry.accepted().map(|accepted| accepted.version),
                deleted: entry
                    .accepted()
                    .is_some_and(|accepted| accepted.file.deleted),
                conflict: entry.conflict(),
                seen: entry.seen(),
                verdict: entry.verdict().clone(),
            })
            .collect()
    }

    /// Names that are defined by more than one file.
    pub(crate) fn overlaps(&self) -> Vec<Overlap> {
        let mut first: BTreeMap<String, &FileName> = BTreeMap::new();
        let mut overlaps = Vec::new();
        for (file, entry) in &self.files {
            let Some(accepted) = entry.accepted() else {
                continue;
            };
            let services = accepted.file.services.iter();
            let services = services.map(|service| format!("service {}", service.name));
            let accounts = accepted.file.accounts.iter();
            let accounts = accounts.map(|account| format!("account {}", account.name));
            for name in services.chain(accounts) {
                let Some(in_force) = first.get(&name) else {
                    first.insert(name, file);
                    continue;
                };
                overlaps.push(Overlap {
                    name,
                    in_force: (*in_force).clone(),
                    other: file.clone(),
                });
            }
        }
        overlaps
    }

    /// Content of one file, by hash.
    pub(crate) fn content(&self, name: &FileName, hash: &ContentHash) -> Option<Arc<str>> {
        self.files.get(name)?.content(hash).cloned()
    }

    /// Keeps deltas to new contents of a file.
    pub(crate) fn add_deltas(&mut self, name: &FileName, payloads: &[Arc<Payload>]) {
        let Some(entry) = self.files.get_mut(name) else {
            return;
        };
        for payload in payloads {
            entry.add_delta(payload);
        }
    }

    /// Merges an entry of the configuration service.
    pub(crate) fn merge_source_entry(
        &mut self,
        entry: &ConfigEntry,
        checked: Option<&CheckedContent>,
    ) -> MergeResult {
        let hash = checked.map(|checked| checked.hash);
        let generation = checked.and_then(|checked| checked.check.generation());
        let seen = SourceState {
            revision: entry.revision,
            hash,
            generation,
        };
        let valid = checked.filter(|checked| checked.check.file().is_some());
        let digest = FileDigest {
            name: entry.name.clone(),
            accepted: valid.and(seen.version()),
            conflict: None,
            seen: Some(seen),
        };
        let contents = checked
            .map(|checked| (checked.hash, checked))
            .into_iter()
            .collect();
        self.merge(&digest, &contents)
    }

    /// Records that known files are missing from the full list of the configuration service. Returns the
    /// files for which this is new.
    pub(crate) fn record_absent_files(
        &mut self,
        listed: &[ConfigEntry],
        revision: Revision,
    ) -> Vec<FileName> {
        let is_missing = |name: &&FileName| listed.iter().all(|entry| entry.name != **name);
        let mut absent: Vec<FileName> = self.files.keys().filter(is_missing).cloned().collect();
        absent.retain(|name| {
            let entry = ConfigEntry {
                name: name.clone(),
                revision,
                content: None,
            };
            self.merge_source_entry(&entry, None).digest_changed
        });
        absent
    }

    /// Merges a digest, as far as its contents are in `contents` or already held.
    pub(crate) fn merge(
        &mut self,
        digest: &FileDigest,
        contents: &HashMap<ContentHash, &CheckedContent>,
    ) -> MergeResult {
        let entry = self.files.entry(digest.name.clone()).or_default();
        let before = entry.digest(&digest.name);
        let mut in_force_changed = false;
        if let Some(version) = digest.accepted {
            in_force_changed |= accept(entry, version, contents);
        }
        entry.record_conflict(digest.accepted);
        entry.record_conflict(digest.conflict);
        if let Some(seen) = digest.seen {
            let checked = seen.hash.and_then(|hash| contents.get(&hash));
            let refused = checked.is_some_and(|checked| checked.check.file().is_none());
            if let Some(version) = seen.version().filter(|_| !refused) {
                in_force_changed |= accept(entry, version, contents);
            }
            entry.record_source_state(seen, checked.map(|c| &c.content), checked.map(|c| &c.check));
        }
        let after = entry.digest(&digest.name);
        if entry.is_empty() {
            self.files.remove(&digest.name);
        }
        if before == after {
            return MergeResult::default();
        }
        self.root = self.root.wrapping_sub(root_contribution(&before));
        self.root = self.root.wrapping_add(root_contribution(&after));
        MergeResult {
            digest_changed: true,
            in_force_changed,
        }
    }

    /// Size of the held contents and payloads, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.files.values().map(FileEntry::held_bytes).sum()
    }
}

/// Contribution of a file to the root; zero for a file about which nothing is known.
fn root_contribution(digest: &FileDigest) -> u64 {
    if digest.accepted.is_none() && digest.seen.is_none() {
        return 0;
    }
    digest.fingerprint()
}

fn accept(
    entry: &mut FileEntry,
    version: Version,
    contents: &HashMap<ContentHash, &CheckedContent>,
) -> bool {
    if let Some(checked) = contents.get(&version.hash) {
        return entry.accept(version, &checked.content, &checked.check);
    }
    entry.raise_version(version);
    false
}

//! [`FileEntry`].

use std::sync::Arc;

use oleanderpost_types::FileName;

use crate::{
    Check, ContentHash, FileDigest, FleetFile, Payload, SourceState, Verdict, Version,
    deltas::Deltas,
};

/// A valid content.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedContent {
    pub(crate) version: Version,
    pub(crate) content: Arc<str>,
    pub(crate) file: Arc<FleetFile>,
}

/// State of one file on a node.
#[derive(Debug, Default)]
pub(crate) struct FileEntry {
    accepted: Option<AcceptedContent>,
    conflict: Option<Version>,
    seen: Option<SourceState>,
    verdict: Verdict,
    /// Content of `seen`, if it is not in force.
    seen_content: Option<Arc<str>>,
    /// Content that a peer accepted but this version of the program refuses.
    refused_hash: Option<ContentHash>,
    /// Deltas from one accepted content to the next, the oldest first.
    deltas: Deltas,
    /// Cached payload of the content in force, compressed without a base.
    full_payload: Option<Arc<Payload>>,
}

impl FileEntry {
    pub(crate) const fn accepted(&self) -> Option<&AcceptedContent> {
        self.accepted.as_ref()
    }

    pub(crate) const fn conflict(&self) -> Option<Version> {
        self.conflict
    }

    pub(crate) const fn seen(&self) -> Option<SourceState> {
        self.seen
    }

    pub(crate) const fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    pub(crate) fn digest(&self, name: &FileName) -> FileDigest {
        FileDigest {
            name: name.clone(),
            accepted: self.version(),
            conflict: self.conflict,
            seen: self.seen,
        }
    }

    fn version(&self) -> Option<Version> {
        self.accepted.as_ref().map(|accepted| accepted.version)
    }

    /// Content with the given hash, if this node holds it.
    pub(crate) fn content(&self, hash: &ContentHash) -> Option<&Arc<str>> {
        if let Some(accepted) = &self.accepted
            && accepted.version.hash == *hash
        {
            return Some(&accepted.content);
        }
        let seen = self.seen?;
        (seen.hash == Some(*hash)).then_some(self.seen_content.as_ref())?
    }

    /// Hashes of the contents that this node holds.
    pub(crate) fn held_hashes(&self) -> Vec<ContentHash> {
        let accepted = self.version().map(|version| version.hash);
        let seen = self.seen.and_then(|seen| seen.hash);
        let seen = seen.filter(|_| self.seen_content.is_some());
        accepted.into_iter().chain(seen).collect()
    }

    /// Hashes of the contents that this node must fetch before it can merge `digest`.
    pub(crate) fn contents_to_fetch(&self, digest: &FileDigest) -> Vec<ContentHash> {
        let mut contents_to_fetch = Vec::new();
        if let Some(version) = digest.accepted
            && Some(version) > self.version()
            && self.content(&version.hash).is_none()
            && self.refused_hash != Some(version.hash)
        {
            contents_to_fetch.push(version.hash);
        }
        if let Some(seen) = digest.seen
            && Some(seen) > self.seen
            && let Some(hash) = seen.hash
            && self.content(&hash).is_none()
            && !contents_to_fetch.contains(&hash)
            && !self.is_outdated(&seen)
        {
            contents_to_fetch.push(hash);
        }
        contents_to_fetch
    }

    /// Whether a source state is too old to come into force, regardless of its content.
    fn is_outdated(&self, seen: &SourceState) -> bool {
        seen.generation.is_some() && seen.version() <= self.version()
    }

    /// Whether `digest` contains anything that this node does not have.
    pub(crate) fn is_behind(&self, digest: &FileDigest) -> bool {
        let not_refused = digest
            .accepted
            .filter(|version| self.refused_hash != Some(version.hash));
        not_refused > self.version()
            || digest.seen > self.seen
            || self.is_new_conflict(digest.accepted)
            || self.is_new_conflict(digest.conflict)
    }

    fn is_new_conflict(&self, conflict: Option<Version>) -> bool {
        let (Some(conflict), Some(version)) = (conflict, self.version()) else {
            return false;
        };
        conflict.conflicts_with(&version) && Some(conflict) > self.conflict
    }

    /// Merges a checked content under the version with which a node accepted it. Returns whether the content
    /// in force changed.
    pub(crate) fn accept(&mut self, version: Version, content: &Arc<str>, check: &Check) -> bool {
        let Some(file) = check.file() else {
            self.refused_hash = Some(version.hash);
            return false;
        };
        let old = self.version();
        if Some(version) <= old {
            self.record_conflict(Some(version));
            return false;
        }
        let content_changed = old.is_none_or(|old| old.hash != version.hash);
        if content_changed {
            let mut file = file.clone();
            if let Some(accepted) = &self.accepted {
                file.share_unchanged_with(&accepted.file);
            }
            self.full_payload = None;
            self.accepted = Some(AcceptedContent {
                version,
                content: content.clone(),
                file: Arc::new(file),
            });
        } else if let Some(accepted) = &mut self.accepted {
            accepted.version = version;
        }
        let conflict = self.conflict.take();
        self.record_conflict(conflict);
        self.record_conflict(old);
        self.update_verdict();
        content_changed
    }

    /// Raises the version of the content in force if the same content was written again.
    pub(crate) fn raise_version(&mut self, version: Version) {
        if let Some(accepted) = &mut self.accepted
            && accepted.version.hash == version.hash
            && accepted.version < version
        {
            accepted.version = version;
            let conflict = self.conflict.take();
            self.record_conflict(conflict);
        }
    }

    /// Keeps the highest version that conflicts with the version in force.
    pub(crate) fn record_conflict(&mut self, other: Option<Version>) {
        let (Some(other), Some(version)) = (other, self.version()) else {
            return;
        };
        if other.conflicts_with(&version) {
            self.conflict = self.conflict.max(Some(other));
        }
    }

    /// Merges a state of the configuration service. `content` and `check` may be absent if no node has the
    /// content.
    pub(crate) fn record_source_state(
        &mut self,
        seen: SourceState,
        content: Option<&Arc<str>>,
        check: Option<&Check>,
    ) {
        if Some(seen) <= self.seen {
            return;
        }
        self.seen = Some(seen);
        self.seen_content = content.cloned();
        self.verdict = match (seen.hash, check) {
            (None, _) => Verdict::Absent,
            (Some(_), None) => Verdict::Unchecked,
            (Some(_), Some(check)) if check.file().is_some() => Verdict::Superseded,
            (Some(_), Some(check)) => Verdict::Refused(check.findings().clone()),
        };
        self.update_verdict();
    }

    /// Updates the verdict after a change of the version in force or of the source state, and drops
    /// `seen_content` if it is no longer needed.
    fn update_verdict(&mut self) {
        let Some(seen) = self.seen else { return };
        let Some(hash) = seen.hash else { return };
        if Some(hash) == self.version().map(|version| version.hash) {
            self.verdict = Verdict::InForce;
        } else if self.verdict == Verdict::InForce || self.is_outdated(&seen) {
            self.verdict = Verdict::Superseded;
        }
        if matches!(self.verdict, Verdict::InForce | Verdict::Superseded) {
            self.seen_content = None;
        }
    }

    /// Keeps the delta from the content in force to another one, for nodes that are behind.
    pub(crate) fn add_delta(&mut self, delta: &Arc<Payload>) {
        if delta.base.is_some() && delta.base == self.version().map(|v| v.hash) {
            self.deltas.push(delta);
        }
    }

    /// Payloads from which a node with the contents `have` can build the content `hash`.
    pub(crate) fn payloads(
        &mut self,
        hash: ContentHash,
        have: &[ContentHash],
    ) -> Vec<Arc<Payload>> {
        if have.contains(&hash) {
            return Vec::new();
        }
        if let Some(chain) = self.deltas.chain(hash, have) {
            return chain;
        }
        let Some(content) = self.content(&hash).cloned() else {
            return Vec::new();
        };
        let base = have
            .iter()
            .find_map(|have| Some((*have, self.content(have)?.clone())));
        if let Some((base_hash, base)) = base {
            let payload = Payload::compress_with_base(hash, &content, base_hash, &base);
            return payload.into_iter().map(Arc::new).collect();
        }
        self.full_payload(hash, &content).into_iter().collect()
    }

    /// The last delta to `hash`, or else the full content, if it is no longer than `limit` bytes.
    pub(crate) fn inline_payload(&self, hash: ContentHash, limit: usize) -> Option<Arc<Payload>> {
        if let Some(delta) = self.deltas.last_to(hash, limit) {
            return Some(delta);
        }
        let content = self.content(&hash)?;
        if content.len() > limit {
            return None;
        }
        Payload::compress(hash, content).ok().map(Arc::new)
    }

    fn full_payload(&mut self, hash: ContentHash, content: &str) -> Option<Arc<Payload>> {
        if let Some(full_payload) = &self.full_payload
            && full_payload.hash == hash
        {
            return Some(full_payload.clone());
        }
        let full_payload = Arc::new(Payload::compress(hash, content).ok()?);
        if self.version().is_some_and(|version| version.hash == hash) {
            self.full_payload = Some(full_payload.clone());
        }
        Some(full_payload)
    }

    /// Size of the held contents and payloads, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        let accepted = self
            .accepted
            .as_ref()
            .map_or(0, |accepted| accepted.content.len());
        let seen = self
            .seen_content
            .as_ref()
            .map_or(0, |content| content.len());
        let full_payload = self
            .full_payload
            .as_ref()
            .map_or(0, |full_payload| full_payload.data.as_slice().len());
        accepted + seen + self.deltas.bytes() + full_payload
    }

    /// Whether nothing is known about the file.
    pub(crate) const fn is_empty(&self) -> bool {
        self.accepted.is_none() && self.seen.is_none()
    }
}

//! [`UpstreamDirectory`].

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::{BootTime, ServiceName, Upstream, UpstreamId};

/// Time after the return of the discovery store in which entries that lapsed meanwhile may come back.
///
/// The platform states about two seconds.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_000);

/// The upstreams that a node knows.
///
/// An upstream that was seen leaving stays unusable for its whole life, whatever later entries of the
/// same process say.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    known: HashMap<UpstreamId, Arc<Upstream>>,
    /// Entries that are missing since an outage of the store, and the time at which they count as gone.
    missing: HashMap<UpstreamId, BootTime>,
    /// Processes that announced their end.
    leaving: HashSet<(UpstreamId, Option<u64>)>,
}

impl UpstreamDirectory {
    /// Takes in the entry of an upstream; `true` if anything changed.
    pub fn put(&mut self, upstream: Upstream) -> bool {
        let process = (upstream.id.clone(), upstream.started_at);
        if upstream.draining {
            self.leaving.insert(process);
        }
        let back = self.missing.remove(&upstream.id).is_some();
        let old = self.known.get(&upstream.id);
        if old.is_some_and(|old| **old == upstream) {
            return back;
        }
        self.known.insert(upstream.id.clone(), Arc::new(upstream));
        true
    }

    /// Forgets an upstream whose entry was removed while the store was sound.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        self.missing.remove(id);
        self.known.remove(id).is_some()
    }

    /// Notes that an entry was missing when the store came back; it counts as gone at `until`.
    pub fn mark_missing(&mut self, id: &UpstreamId, until: BootTime) {
        if self.known.contains_key(id) {
            self.missing.entry(id.clone()).or_insert(until);
        }
    }

    /// Forgets the upstreams whose patience has run out; their identifiers.
    pub fn remove_expired(&mut self, now: BootTime) -> Vec<UpstreamId> {
        let over = |until: &BootTime| *until <= now;
        let gone: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, until)| over(until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Marks the process behind `id` as leaving.
    pub fn mark_leaving(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.known.get(id) {
            self.leaving.insert((id.clone(), upstream.started_at));
        }
    }

    /// The upstream of that identifier.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.known.get(id)
    }

    /// Whether new requests may go to the upstream.
    #[must_use]
    pub fn is_usable(&self, id: &UpstreamId) -> bool {
        self.known
            .get(id)
            .is_some_and(|upstream| self.takes_work(upstream))
    }

    /// The upstreams of a service that take new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        let of_service = self.known.values().filter(move |u| u.service == *service);
        of_service.filter(|upstream| self.takes_work(upstream))
    }

    /// Identifiers of all known upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.known.keys()
    }

    fn takes_work(&self, upstream: &Upstream) -> bool {
        let process = (upstream.id.clone(), upstream.started_at);
        !upstream.draining && !self.leaving.contains(&process)
    }
}

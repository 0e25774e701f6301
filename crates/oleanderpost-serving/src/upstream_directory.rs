//! [`UpstreamDirectory`].

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use crate::{
    BootTime, ColdLimit, DataCentreName, ServiceName, Upstream, UpstreamId, cold_times::ColdTimes,
};

/// Grace period after an outage of the discovery store, in which entries that expired during the outage may
/// be registered again.
///
/// The platform documents about two seconds.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_000);

/// The upstreams that a node has discovered.
///
/// Once an upstream process has announced that it is shutting down, it is never used again, even if a later
/// entry of the same process says otherwise. While a data centre is evacuated, its upstreams are not used.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    upstreams: HashMap<UpstreamId, Arc<Upstream>>,
    /// Upstreams whose entries are missing since an outage of the store, and when they are removed.
    missing: HashMap<UpstreamId, BootTime>,
    /// Processes that announced their shutdown: identifier and start time.
    leaving: HashSet<(UpstreamId, Option<u64>)>,
    /// Data centres under evacuation, and when the evacuation ends if the store has lost it.
    evacuated: HashMap<DataCentreName, Option<BootTime>>,
    cold_times: ColdTimes,
}

impl UpstreamDirectory {
    /// Adds or updates an upstream; `true` if anything changed.
    pub fn put(&mut self, upstream: Upstream) -> bool {
        self.put_at(upstream, BootTime::now())
    }

    /// Like [`put`](Self::put), for an entry that was received at `now`. That only the stated cold time differs is a
    /// change only if the upstream becomes cold by it.
    pub fn put_at(&mut self, upstream: Upstream, now: BootTime) -> bool {
        let becomes_cold = self.cold_times.note_entry(&upstream, now);
        let process = (upstream.id.clone(), upstream.started_at);
        if upstream.draining {
            self.leaving.insert(process);
        }
        let reappeared = self.missing.remove(&upstream.id).is_some();
        let old = self.upstreams.get(&upstream.id);
        let is_same = old.is_some_and(|old| {
            let cold_left_ms = upstream.cold_left_ms;
            let old = Upstream {
                cold_left_ms,
                ..Upstream::clone(old)
            };
            old == upstream
        });
        self.upstreams
            .insert(upstream.id.clone(), Arc::new(upstream));
        !is_same || becomes_cold || reappeared
    }

    /// Removes an upstream whose entry was removed while the store was available; `true` if it was present.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        self.missing.remove(id);
        self.upstreams.remove(id).is_some()
    }

    /// Marks an upstream whose entry was missing when the store became available again; it is removed at
    /// `deadline`.
    pub fn mark_missing(&mut self, id: &UpstreamId, deadline: BootTime) {
        if self.upstreams.contains_key(id) {
            self.missing.entry(id.clone()).or_insert(deadline);
        }
    }

    /// Removes the upstreams whose grace period has ended, and returns their identifiers.
    pub fn remove_expired(&mut self, now: BootTime) -> Vec<UpstreamId> {
        let is_expired = |deadline: &BootTime| *deadline <= now;
        let expired: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, deadline)| is_expired(deadline))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Marks the current process of the upstream as shutting down.
    pub fn mark_leaving(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get(id) {
            self.leaving.insert((id.clone(), upstream.started_at));
        }
    }

    /// Marks a process of the upstream as shutting down.
    pub fn mark_process_leaving(&mut self, id: &UpstreamId, started_at: Option<u64>) {
        self.leaving.insert((id.clone(), started_at));
    }

    /// Stops the use of the upstreams in a data centre; `true` if they were in use.
    pub fn begin_evacuation(&mut self, data_centre: &DataCentreName) -> bool {
        self.evacuated.insert(data_centre.clone(), None).is_none()
    }

    /// Returns a data centre to service; `true` if it was under evacuation.
    pub fn end_evacuation(&mut self, data_centre: &DataCentreName) -> bool {
        self.evacuated.remove(data_centre).is_some()
    }

    /// Marks an evacuation that a store which has returned from a copy does not list; it ends at `deadline` unless the
    /// operator writes it again.
    pub fn mark_evacuation_missing(&mut self, data_centre: &DataCentreName, deadline: BootTime) {
        if let Some(end) = self.evacuated.get_mut(data_centre) {
            end.get_or_insert(deadline);
        }
    }

    /// Ends the missing evacuations whose grace period has ended, and returns their data centres.
    pub fn end_expired_evacuations(&mut self, now: BootTime) -> Vec<DataCentreName> {
        let is_expired = |_: &DataCentreName, end: &mut Option<BootTime>| {
            end.is_some_and(|deadline| deadline <= now)
        };
        let expired = self.evacuated.extract_if(is_expired);
        expired.map(|(data_centre, _)| data_centre).collect()
    }

    /// Data centres under evacuation.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentreName> {
        self.evacuated.keys()
    }

    /// Data centres whose evacuation the store lists, as far as this node has read it.
    pub fn listed_evacuations(&self) -> impl Iterator<Item = &DataCentreName> {
        let listed = self.evacuated.iter().filter(|(_, end)| end.is_none());
        listed.map(|(data_centre, _)| data_centre)
    }

    /// Whether the upstream is in a data centre under evacuation.
    #[must_use]
    pub fn is_evacuated(&self, upstream: &Upstream) -> bool {
        self.evacuated.contains_key(&upstream.data_centre)
    }

    /// The upstreams of a service that would accept new requests if their data centres were not evacuated.
    pub fn evacuated_upstreams<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.staying(service).filter(|u| self.is_evacuated(u))
    }

    /// Whether evacuations leave a service without upstreams: it has some, and all are in evacuated data centres.
    /// Upstreams that are shutting down don't count.
    #[must_use]
    pub fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        !self.evacuated.is_empty()
            && self.usable(service).next().is_none()
            && self.evacuated_upstreams(service).next().is_some()
    }

    /// Whether an upstream in a data centre under evacuation has this address.
    #[must_use]
    pub fn is_evacuated_address(&self, address: SocketAddr) -> bool {
        !self.evacuated.is_empty()
            && self
                .upstreams
                .values()
                .any(|u| u.address == address && self.is_evacuated(u))
    }

    /// Records that the full state has been read: a process that appears from now on has just started.
    pub fn set_complete(&mut self) {
        self.cold_times.set_complete();
    }

    /// End of the cold time of the upstream's process according to its entries, if there is one.
    #[must_use]
    pub fn cold_until(&self, upstream: &Upstream, limit: &ColdLimit) -> Option<BootTime> {
        self.cold_times.until(upstream, limit)
    }

    /// Drops the cold times of upstreams that are no longer known.
    pub fn retain_cold_times(&mut self, now: BootTime) {
        let upstreams = &self.upstreams;
        self.cold_times.retain(now, |id| upstreams.contains_key(id));
    }

    /// The upstream with this identifier.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.upstreams.get(id)
    }

    /// Whether new requests may be sent to the upstream.
    #[must_use]
    pub fn is_usable(&self, id: &UpstreamId) -> bool {
        self.upstreams
            .get(id)
            .is_some_and(|upstream| !self.is_leaving(upstream) && !self.is_evacuated(upstream))
    }

    /// The upstreams of a service that accept new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.staying(service).filter(|u| !self.is_evacuated(u))
    }

    /// The upstreams of a service that are not shutting down.
    fn staying<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Arc<Upstream>> {
        let upstreams_of_service = self
            .upstreams
            .values()
            .filter(move |u| u.service == *service);
        upstreams_of_service.filter(|upstream| !self.is_leaving(upstream))
    }

    /// Identifiers of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.upstreams.keys()
    }

    /// Whether the process has announced that it is shutting down.
    #[must_use]
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        let process = (upstream.id.clone(), upstream.started_at);
        upstream.draining || self.leaving.contains(&process)
    }
}

//! [`LocalUpstreams`].

use std::collections::BTreeMap;

use oleanderpost_types::{DataCentre, UpstreamId};
use tokio::time::Instant;

use crate::{Breaker, Completion, fleet::FleetUpstream};

/// Per-upstream state from this node's own requests: number in flight and circuit breaker.
#[derive(Debug, Default)]
pub(crate) struct LocalUpstreams {
    upstreams: BTreeMap<UpstreamId, UpstreamRecord>,
}

#[derive(Debug, Default)]
struct UpstreamRecord {
    in_flight: u32,
    breaker: Breaker,
}

impl LocalUpstreams {
    /// The upstream with the fewest requests of this node whose breaker allows a request.
    /// Ties are resolved in favour of this data centre.
    pub(crate) fn least_in_flight<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a FleetUpstream>,
        local_data_centre: &DataCentre,
        now: Instant,
    ) -> Option<&'a FleetUpstream> {
        upstreams
            .filter(|upstream| self.breaker_allows(&upstream.view.id, now))
            .min_by_key(|upstream| {
                let is_remote = upstream.view.data_centre != *local_data_centre;
                (self.in_flight(&upstream.view.id), is_remote, upstream.rank)
            })
    }

    pub(crate) fn in_flight(&self, id: &UpstreamId) -> u32 {
        self.upstreams
            .get(id)
            .map_or(0, |upstream| upstream.in_flight)
    }

    pub(crate) fn breaker_allows(&self, id: &UpstreamId, now: Instant) -> bool {
        self.upstreams
            .get(id)
            .is_none_or(|upstream| upstream.breaker.allows(now))
    }

    pub(crate) fn retry_after(&self, id: &UpstreamId, now: Instant) -> Option<std::time::Duration> {
        self.upstreams.get(id)?.breaker.retry_after(now)
    }

    pub(crate) fn record_sent(&mut self, id: &UpstreamId, now: Instant) {
        let upstream = self.upstreams.entry(id.clone()).or_default();
        upstream.in_flight += 1;
        upstream.breaker.record_sent(now);
    }

    pub(crate) fn record_closed(&mut self, id: &UpstreamId, completion: Completion, now: Instant) {
        let upstream = self.upstreams.entry(id.clone()).or_default();
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        match completion {
            Completion::Finished { .. } => upstream.breaker.record_success(),
            Completion::Failed => upstream.breaker.record_failure(now),
            Completion::NotSent | Completion::Declined | Completion::Cancelled => {}
        }
    }

    /// Removes idle upstreams that are no longer in the directory.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams
            .retain(|id, upstream| upstream.in_flight > 0 || is_known(id));
    }
}

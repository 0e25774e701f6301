//! [`Placement`].

use std::sync::Arc;

use crate::{Lease, Upstream, WorkEnd, reservations::Reservations};

/// Engines and memory assigned to one attempt at a stream. Dropping it counts as a cancellation.
pub(crate) struct Placement {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) helpers: Vec<crate::HelperAddress>,
    /// Expected time to the first event in milliseconds.
    pub(crate) first_event_ms: Option<f64>,
    lease: Option<Lease>,
    reservations: Option<Reservations>,
}

impl Placement {
    /// Creates a placement on an upstream that is not managed by a scheduler.
    pub(crate) fn new(upstream: Arc<Upstream>) -> Self {
        Self {
            upstream,
            helpers: Vec::new(),
            first_event_ms: None,
            lease: None,
            reservations: None,
        }
    }

    /// Creates a placement granted by a scheduler.
    pub(crate) fn with_lease(
        upstream: Arc<Upstream>,
        lease: Lease,
        helpers: Vec<crate::HelperAddress>,
        reservations: Option<Reservations>,
    ) -> Self {
        let first_event_ms = Some(lease.grant().first_event_ms);
        Self {
            upstream,
            helpers,
            first_event_ms,
            lease: Some(lease),
            reservations,
        }
    }

    /// Waits until an engine loses the memory reserved for the request; never returns if none is reserved.
    pub(crate) async fn reservation_lost(&self) {
        match &self.reservations {
            Some(reservations) => reservations.lost().cancelled().await,
            None => std::future::pending().await,
        }
    }

    /// Records the first event.
    pub(crate) fn note_first_event(&self) {
        if let Some(lease) = &self.lease {
            lease.note_first_event();
        }
    }

    /// Releases the placement.
    pub(crate) fn close(mut self, end: WorkEnd) {
        if let Some(lease) = self.lease.take() {
            lease.close(end);
        }
    }
}

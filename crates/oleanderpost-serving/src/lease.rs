//! [`Lease`].

use std::sync::Arc;

use crate::{Grant, ServiceName, WorkEnd, WorkId, lease_owner::LeaseOwner};

/// The right to run one request on an engine. Dropping it counts as a cancellation.
pub struct Lease {
    owner: Arc<dyn LeaseOwner>,
    service: ServiceName,
    id: WorkId,
    grant: Grant,
    closed: bool,
}

impl Lease {
    pub(crate) fn new(
        owner: Arc<dyn LeaseOwner>,
        service: ServiceName,
        id: WorkId,
        grant: Grant,
    ) -> Self {
        Self {
            owner,
            service,
            id,
            grant,
            closed: false,
        }
    }

    /// Engines granted to the request.
    #[must_use]
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Records the first event.
    pub fn note_first_event(&self) {
        self.owner.note_first_event(&self.service, self.id);
    }

    /// Ends the lease.
    pub fn close(mut self, end: WorkEnd) {
        self.closed = true;
        self.owner.note_end(&self.service, self.id, end);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.closed {
            self.owner
                .note_end(&self.service, self.id, WorkEnd::Cancelled);
        }
    }
}

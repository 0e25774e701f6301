//! [`Lease`].

use std::sync::Arc;

use crate::{Grant, SchedulerClient, ServiceName, WorkEnd, WorkId};

/// The right to run one request on an engine. Dropped, it counts as cancelled.
pub struct Lease {
    client: Arc<SchedulerClient>,
    service: ServiceName,
    id: WorkId,
    grant: Grant,
    closed: bool,
}

impl Lease {
    pub(crate) fn new(
        client: Arc<SchedulerClient>,
        service: ServiceName,
        id: WorkId,
        grant: Grant,
    ) -> Self {
        Self {
            client,
            service,
            id,
            grant,
            closed: false,
        }
    }

    /// Where the request runs.
    #[must_use]
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Notes that the first event has come.
    pub fn note_first_event(&self) {
        self.client.note_first_event(&self.service, self.id);
    }

    /// Gives the place back.
    pub fn close(mut self, end: WorkEnd) {
        self.closed = true;
        self.client.note_end(&self.service, self.id, end);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.closed {
            self.client
                .note_end(&self.service, self.id, WorkEnd::Cancelled);
        }
    }
}

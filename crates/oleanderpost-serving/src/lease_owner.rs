//! [`LeaseOwner`].

use crate::{ServiceName, WorkEnd, WorkId};

/// Receives the events of a lease.
pub(crate) trait LeaseOwner: Send + Sync {
    /// Records the first event of a request.
    fn note_first_event(&self, service: &ServiceName, id: WorkId);

    /// Records that a placement has ended, or that the request no longer waits for one.
    fn note_end(&self, service: &ServiceName, id: WorkId, end: WorkEnd);
}

//! [`LeaseOwner`].

use crate::{ServiceName, WorkEnd, WorkId};

/// Hears what becomes of a placement.
pub(crate) trait LeaseOwner: Send + Sync {
    /// The first event has come.
    fn note_first_event(&self, service: &ServiceName, id: WorkId);

    /// The placement has ended, or the wait for one.
    fn note_end(&self, service: &ServiceName, id: WorkId, end: WorkEnd);
}

//! [`VmSource`].

use oleanderpost_types::{Millis, Revision, VmList};

use crate::Result;

/// Source of the platform's VM list.
#[async_trait::async_trait]
pub trait VmSource: Send + Sync {
    /// Reads the list; waits up to `wait` for a revision greater than `after`.
    ///
    /// The VMs may be omitted from a list whose revision is not greater than `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Source`](crate::Error::Source) when the platform fails or does not answer.
    async fn list(&self, after: Revision, wait: Millis) -> Result<VmList>;
}

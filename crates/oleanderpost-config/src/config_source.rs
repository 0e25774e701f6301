//! [`ConfigSource`].

use async_trait::async_trait;

use oleanderpost_types::{ConfigReply, Millis, Revision};

use crate::Result;

/// The configuration service, which supports reads and long-poll watches.
#[async_trait]
pub trait ConfigSource: Send + Sync {
    /// Returns the files changed after revision `after`. If there are none, waits up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// [`Error::Source`](crate::Error::Source) when the service fails or does not respond.
    async fn changes(&self, after: Revision, wait: Millis) -> Result<ConfigReply>;
}

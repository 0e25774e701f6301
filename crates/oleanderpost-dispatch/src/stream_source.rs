//! [`StreamSource`].

use async_trait::async_trait;
use oleanderpost_types::{RequestKey, StreamStatus};

use crate::{Result, StreamConnection};

/// Access to the streams that one upstream keeps independently of a connection. Each call uses its own
/// connection, and the implementation limits its duration.
#[async_trait]
pub trait StreamSource: Send + Sync {
    /// Status of the stream of a request at the upstream.
    ///
    /// # Errors
    ///
    /// [`Error::Exchange`](crate::Error::Exchange) if no answer arrived.
    async fn status(&self, key: RequestKey) -> Result<StreamStatus>;

    /// Opens a connection that reads the stream from token `offset` on.
    ///
    /// # Errors
    ///
    /// [`Error::Exchange`](crate::Error::Exchange) if no connection could be opened.
    async fn resume(&self, key: RequestKey, offset: u64) -> Result<Box<dyn StreamConnection>>;
}

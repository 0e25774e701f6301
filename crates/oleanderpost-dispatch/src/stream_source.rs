//! [`StreamSource`].

use async_trait::async_trait;
use oleanderpost_types::{RequestKey, StreamStatus};

use crate::{Result, StreamConnection};

/// The side of one upstream that keeps streams beyond a connection. Each call uses a connection of its
/// own and is bounded in time by the implementation.
#[async_trait]
pub trait StreamSource: Send + Sync {
    /// What the upstream knows of a request.
    ///
    /// # Errors
    ///
    /// [`Error::Exchange`](crate::Error::Exchange) when no answer came.
    async fn status(&self, key: RequestKey) -> Result<StreamStatus>;

    /// Reads the stream from token `offset`.
    ///
    /// # Errors
    ///
    /// [`Error::Exchange`](crate::Error::Exchange) when no connection could be opened.
    async fn resume(&self, key: RequestKey, offset: u64) -> Result<Box<dyn StreamConnection>>;
}

//! [`StreamConnection`].

use async_trait::async_trait;
use oleanderpost_types::StreamEvent;

use crate::Result;

/// A connection to an upstream that yields the events of one stream. Dropping it closes the connection.
#[async_trait]
pub trait StreamConnection: Send {
    /// Next event; `None` once the connection has ended. Cancel-safe: the future may be dropped and the
    /// method called again.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`](crate::Error::Refused) before the first event,
    /// [`Error::Exchange`](crate::Error::Exchange) if the connection broke.
    async fn next(&mut self) -> Result<Option<StreamEvent>>;
}

//! [`StreamConnection`].

use async_trait::async_trait;
use oleanderpost_types::StreamEvent;

use crate::Result;

/// The events of one connection to an upstream. Dropping it closes the connection.
#[async_trait]
pub trait StreamConnection: Send {
    /// Next event; `None` when the connection ended. The future may be dropped and called again.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`](crate::Error::Refused) before the first event,
    /// [`Error::Exchange`](crate::Error::Exchange) when the connection broke.
    async fn next(&mut self) -> Result<Option<StreamEvent>>;
}

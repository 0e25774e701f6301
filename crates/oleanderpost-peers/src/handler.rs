//! [`Handler`].

use oleanderpost_types::VmId;

/// Handles the messages of peers.
#[async_trait::async_trait]
pub trait Handler<M>: Send + Sync {
    /// Handles one message of the peer `from`. The result, if any, is sent as the answer when the message
    /// is a request.
    ///
    /// Calls run concurrently, up to [`LinkLimits::max_handlers`](crate::LinkLimits) per connection.
    async fn handle(&self, from: &VmId, msg: M) -> Option<M>;
}

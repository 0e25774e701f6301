//! [`OwnerClient`].

use async_trait::async_trait;
use oleanderpost_types::VmId;

use crate::{PermitMessage, Result};

/// Link to the other nodes. The implementation bounds each call in time, to about a second.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a message to the node on `vm`, where [`Admission::handle`](crate::Admission::handle)
    /// takes it, and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`](crate::Error::Peer) when no answer came; the message may have arrived.
    async fn ask(&self, vm: &VmId, msg: PermitMessage) -> Result<PermitMessage>;
}

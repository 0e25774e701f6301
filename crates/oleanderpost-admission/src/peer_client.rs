//! [`PeerClient`].

use async_trait::async_trait;
use oleanderpost_types::VmId;

use crate::{PermitMessage, Result};

/// Client for calls to other nodes. Implementations limit each call to about one second.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a message to the node on `vm`, where [`Admission::handle`](crate::Admission::handle)
    /// processes it, and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peer`](crate::Error::Peer) if no reply came; the message may have been processed.
    async fn request(&self, vm: &VmId, msg: PermitMessage) -> Result<PermitMessage>;
}

//! [`ConfigPeers`].

use async_trait::async_trait;

use oleanderpost_types::VmId;

use crate::{ConfigMessage, PeerView, Result};

/// The other nodes of the fleet.
#[async_trait]
pub trait ConfigPeers: Send + Sync {
    /// All entry VMs but this one.
    fn peers(&self) -> Vec<PeerView>;

    /// Sends a message to a peer and waits for its answer, with a deadline.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`](crate::Error::Peer) when there is no answer.
    async fn request(&self, vm: &VmId, msg: ConfigMessage) -> Result<ConfigMessage>;
}

//! [`ConfigPeers`].

use async_trait::async_trait;

use oleanderpost_types::VmId;

use crate::{ConfigMessage, PeerView, Result};

/// Access to the other nodes of the fleet.
#[async_trait]
pub trait ConfigPeers: Send + Sync {
    /// All entry VMs except this one.
    fn peers(&self) -> Vec<PeerView>;

    /// Sends a message to a peer and waits for its response, up to a timeout.
    ///
    /// # Errors
    ///
    /// [`Error::Peer`](crate::Error::Peer) when the peer does not respond.
    async fn request(&self, vm: &VmId, msg: ConfigMessage) -> Result<ConfigMessage>;
}

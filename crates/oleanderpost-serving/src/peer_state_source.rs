//! [`PeerStateSource`].

use crate::{BootTime, PeerState};

/// Peers whose state this node can copy while the discovery store does not respond to it.
#[async_trait::async_trait]
pub trait PeerStateSource: Send + Sync {
    /// Requests the state of a peer. Returns it with the time of the request, or `None` if no peer responds.
    async fn fetch_state(&self) -> Option<(BootTime, PeerState)>;
}

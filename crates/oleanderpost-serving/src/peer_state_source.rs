//! [`PeerStateSource`].

use crate::{BootTime, PeerChanges, PeerState, StorePosition};

/// Peers whose state this node can copy while the discovery store does not respond to it.
#[async_trait::async_trait]
pub trait PeerStateSource: Send + Sync {
    /// Requests the state of a peer. Returns it with the time of the request, or `None` if no peer responds.
    async fn fetch_state(&self) -> Option<(BootTime, PeerState)>;

    /// Requests the changes since `after` and since this version of the configuration from the peer whose evidence
    /// this node receives. Returns them with the time of the request, or `None` if the peer does not have them.
    async fn fetch_changes(
        &self,
        after: StorePosition,
        config_version: u64,
    ) -> Option<(BootTime, PeerChanges)>;

    /// Waits for the first evidence of a peer after the start of this node, which has read the store at `position`. Returns
    /// the state of a peer whose configuration is newer than `config_version`, with the time of the request; `None` if no
    /// peer that responds has a newer one.
    async fn fetch_newer_state(
        &self,
        position: StorePosition,
        config_version: u64,
    ) -> Option<(BootTime, PeerState)>;

    /// Whether this node should follow a peer in place of the store: the fleet is large, and other nodes read
    /// the store.
    fn may_follow(&self) -> bool;

    /// Whether other nodes may follow this one.
    fn is_followed(&self) -> bool;
}

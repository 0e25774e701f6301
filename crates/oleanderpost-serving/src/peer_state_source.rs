//! [`PeerStateSource`].

use crate::{BootTime, PeerState};

/// Other nodes that may know what the store does not tell this one.
#[async_trait::async_trait]
pub trait PeerStateSource: Send + Sync {
    /// What a peer knows, and when it was asked; `None` if none answers.
    async fn fetch_state(&self) -> Option<(BootTime, PeerState)>;
}

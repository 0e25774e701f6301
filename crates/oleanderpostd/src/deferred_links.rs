//! [`DeferredLinks`].

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use oleanderpost::{
    peers::{Error, Links, Reachability, Result},
    types::VmId,
};

use crate::PeerMessage;

/// Handle to links that are opened later, for components that must exist before the links.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeferredLinks {
    links: Arc<OnceLock<Links<PeerMessage>>>,
}

impl DeferredLinks {
    /// Sets the links once they are open; a second call has no effect.
    pub(crate) fn set(&self, links: Links<PeerMessage>) {
        let _ = self.links.set(links);
    }

    /// Reachability of a peer according to the links, to be used for routing only; unknown before the links
    /// are open.
    pub(crate) fn reachability(&self, peer: &VmId) -> Reachability {
        let links = self.links.get();
        links.map_or(Reachability::Unknown, |links| links.reachability(peer))
    }

    /// Sends a request to a peer and waits for its reply.
    ///
    /// # Errors
    ///
    /// The errors of [`Links::request`], and [`Error::Closed`] before the links are open.
    pub(crate) async fn request(
        &self,
        to: &VmId,
        msg: PeerMessage,
        timeout: Duration,
    ) -> Result<PeerMessage> {
        let links = self.links.get().ok_or(Error::Closed)?;
        links.request(to, msg, timeout).await
    }

    /// Queues a message without a reply; it may be lost, and is dropped before the links are open.
    pub(crate) fn send(&self, to: &VmId, msg: &PeerMessage) {
        let Some(links) = self.links.get() else {
            return;
        };
        if let Err(e) = links.send(to, msg) {
            spdlog::debug!("failed to queue a message to a peer", kv: { step = "tell", peer: = to, error: = e });
        }
    }
}

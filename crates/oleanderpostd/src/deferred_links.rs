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

/// The links, as the parts see them that must exist before the links are opened.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeferredLinks {
    links: Arc<OnceLock<Links<PeerMessage>>>,
}

impl DeferredLinks {
    /// Joins the opened links; a second call has no effect.
    pub(crate) fn set(&self, links: Links<PeerMessage>) {
        let _ = self.links.set(links);
    }

    /// What the links know of a peer; it serves routing only.
    pub(crate) fn reachability(&self, peer: &VmId) -> Reachability {
        let links = self.links.get();
        links.map_or(Reachability::Unknown, |links| links.reachability(peer))
    }

    /// Sends a request to a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// As [`Links::request`]; [`Error::Closed`] before the links are open.
    pub(crate) async fn request(
        &self,
        to: &VmId,
        msg: PeerMessage,
        timeout: Duration,
    ) -> Result<PeerMessage> {
        let links = self.links.get().ok_or(Error::Closed)?;
        links.request(to, msg, timeout).await
    }

    /// Queues a message that wants no answer; it may be lost.
    pub(crate) fn send(&self, to: &VmId, msg: &PeerMessage) {
        let Some(links) = self.links.get() else {
            return;
        };
        if let Err(e) = links.send(to, msg) {
            spdlog::debug!("message not sent", kv: { step = "tell", peer: = to, error: = e });
        }
    }
}

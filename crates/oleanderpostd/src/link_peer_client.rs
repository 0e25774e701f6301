//! [`LinkPeerClient`].

use std::time::Duration;

use oleanderpost::{
    admission::{Error, PeerClient, PermitMessage, Result},
    types::VmId,
};

use crate::{DeferredLinks, PeerMessage};

const STEP: &str = "ask owner";

/// Timeout for a reply of another node.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// [`PeerClient`] of admission that sends requests to the owners of upstreams over the links.
pub(crate) struct LinkPeerClient {
    links: DeferredLinks,
}

impl LinkPeerClient {
    pub(crate) fn new(links: DeferredLinks) -> Self {
        Self { links }
    }
}

#[async_trait::async_trait]
impl PeerClient for LinkPeerClient {
    async fn request(&self, vm: &VmId, msg: PermitMessage) -> Result<PermitMessage> {
        let peer_error = |detail: String| Error::Peer {
            step: STEP,
            peer: vm.clone(),
            detail,
        };
        let reply = self
            .links
            .request(vm, PeerMessage::Permit(Box::new(msg)), REPLY_TIMEOUT)
            .await;
        match reply.map_err(|e| peer_error(e.to_string()))? {
            PeerMessage::Permit(reply) => Ok(*reply),
            other => Err(peer_error(format!("unexpected answer {other:?}"))),
        }
    }
}

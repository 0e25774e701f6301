//! [`LinkWitnessClient`].

use std::time::Duration;

use oleanderpost::{
    claims::{ClaimMessage, Error, Result, WitnessClient},
    types::VmId,
};

use crate::{DeferredLinks, PeerMessage};

/// Timeout for a reply of another node.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// [`WitnessClient`] that sends claim messages to the witnesses of request keys over the links.
pub(crate) struct LinkWitnessClient {
    links: DeferredLinks,
}

impl LinkWitnessClient {
    pub(crate) fn new(links: DeferredLinks) -> Self {
        Self { links }
    }
}

#[async_trait::async_trait]
impl WitnessClient for LinkWitnessClient {
    async fn request(&self, vm: &VmId, msg: ClaimMessage) -> Result<ClaimMessage> {
        let peer_error = |detail: String| Error::Unreachable {
            peer: vm.clone(),
            detail,
        };
        let reply = self
            .links
            .request(vm, PeerMessage::Claim(msg), REPLY_TIMEOUT)
            .await;
        match reply.map_err(|e| peer_error(e.to_string()))? {
            PeerMessage::Claim(reply) => Ok(reply),
            other => Err(peer_error(format!("unexpected answer {other:?}"))),
        }
    }
}

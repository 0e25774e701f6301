//! [`LinkRosterTransport`].

use std::time::Duration;

use oleanderpost::{
    peers::{Error, Reachability, Result, RosterMessage, RosterTransport},
    types::VmId,
};

use crate::{DeferredLinks, PeerMessage};

/// [`RosterTransport`] that exchanges roster messages with other nodes over the links.
pub(crate) struct LinkRosterTransport {
    links: DeferredLinks,
}

impl LinkRosterTransport {
    pub(crate) fn new(links: DeferredLinks) -> Self {
        Self { links }
    }
}

#[async_trait::async_trait]
impl RosterTransport for LinkRosterTransport {
    async fn request(
        &self,
        to: &VmId,
        msg: RosterMessage,
        time_limit: Duration,
    ) -> Result<RosterMessage> {
        let reply = self
            .links
            .request(to, PeerMessage::Roster(msg), time_limit)
            .await;
        match reply? {
            PeerMessage::Roster(reply) => Ok(reply),
            other => Err(Error::Decode {
                peer: to.clone(),
                reason: format!("unexpected answer {other:?}"),
            }),
        }
    }

    fn send(&self, to: &VmId, msg: RosterMessage) {
        self.links.send(to, &PeerMessage::Roster(msg));
    }

    fn reachability(&self, peer: &VmId) -> Reachability {
        self.links.reachability(peer)
    }
}

//! [`RosterLink`].

use std::time::Duration;

use oleanderpost::{
    peers::{Error, Reachability, Result, RosterMessage, RosterTransport},
    types::VmId,
};

use crate::{LateLinks, Message};

/// Reaches the rosters of other nodes over the links.
pub(crate) struct RosterLink {
    links: LateLinks,
}

impl RosterLink {
    pub(crate) fn new(links: LateLinks) -> Self {
        Self { links }
    }
}

#[async_trait::async_trait]
impl RosterTransport for RosterLink {
    async fn request(
        &self,
        to: &VmId,
        msg: RosterMessage,
        time_limit: Duration,
    ) -> Result<RosterMessage> {
        let answer = self.links.ask(to, Message::Roster(msg), time_limit).await;
        match answer? {
            Message::Roster(answer) => Ok(answer),
            other => Err(Error::Decode {
                peer: to.clone(),
                reason: format!("unexpected answer {other:?}"),
            }),
        }
    }

    fn send(&self, to: &VmId, msg: RosterMessage) {
        self.links.tell(to, &Message::Roster(msg));
    }

    fn reachability(&self, peer: &VmId) -> Reachability {
        self.links.reachability(peer)
    }
}

//! [`OwnerLink`].

use std::time::Duration;

use oleanderpost::{
    admission::{Error, PeerClient, PermitMessage, Result},
    types::VmId,
};

use crate::{LateLinks, Message};

const STEP: &str = "ask owner";

/// Time for an answer of another node.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Reaches the owners of upstreams over the links.
pub(crate) struct OwnerLink {
    links: LateLinks,
}

impl OwnerLink {
    pub(crate) fn new(links: LateLinks) -> Self {
        Self { links }
    }
}

#[async_trait::async_trait]
impl PeerClient for OwnerLink {
    async fn ask(&self, vm: &VmId, msg: PermitMessage) -> Result<PermitMessage> {
        let failed = |detail: String| Error::Peer {
            step: STEP,
            peer: vm.clone(),
            detail,
        };
        let answer = self
            .links
            .ask(vm, Message::Permit(Box::new(msg)), ANSWER_TIME)
            .await;
        match answer.map_err(|e| failed(e.to_string()))? {
            Message::Permit(answer) => Ok(*answer),
            other => Err(failed(format!("unexpected answer {other:?}"))),
        }
    }
}

//! [`ConfigLink`].

use std::{sync::Arc, time::Duration};

use oleanderpost::{
    config::{ConfigMessage, ConfigPeers, Error, PeerView, Result},
    peers::{Reachability, Roster},
    types::VmId,
};

use crate::{LateLinks, Message};

const STEP: &str = "ask about configuration";

/// Time for an answer of another node, large contents included.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Reaches the configuration of other nodes over the links.
pub(crate) struct ConfigLink {
    own: VmId,
    roster: Arc<Roster>,
    links: LateLinks,
}

impl ConfigLink {
    pub(crate) fn new(own: VmId, roster: Arc<Roster>, links: LateLinks) -> Self {
        Self { own, roster, links }
    }
}

#[async_trait::async_trait]
impl ConfigPeers for ConfigLink {
    fn peers(&self) -> Vec<PeerView> {
        let nodes = self.roster.entry_vms().into_iter();
        let others = nodes.filter(|vm| vm.id != self.own);
        let view = |vm: oleanderpost::types::Vm| PeerView {
            reachable: !matches!(
                self.roster.reachability(&vm.id),
                Reachability::Unreachable { .. }
            ),
            vm: vm.id,
            data_centre: vm.data_centre,
        };
        others.map(view).collect()
    }

    async fn request(&self, vm: &VmId, msg: ConfigMessage) -> Result<ConfigMessage> {
        let failed = |reason: String| Error::Peer {
            vm: vm.clone(),
            step: STEP,
            reason,
        };
        let msg = Message::Config(Box::new(msg));
        let answer = self.links.ask(vm, msg, ANSWER_TIME).await;
        match answer.map_err(|e| failed(e.to_string()))? {
            Message::Config(answer) => Ok(*answer),
            other => Err(failed(format!("unexpected answer {other:?}"))),
        }
    }
}

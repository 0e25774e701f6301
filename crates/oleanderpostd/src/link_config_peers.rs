//! [`LinkConfigPeers`].

use std::{sync::Arc, time::Duration};

use oleanderpost::{
    config::{ConfigMessage, ConfigPeers, Error, PeerView, Result},
    peers::{Reachability, Roster},
    types::VmId,
};

use crate::{DeferredLinks, PeerMessage};

const STEP: &str = "ask about configuration";

/// Timeout for a reply of another node; long enough for large file contents.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// [`ConfigPeers`] that sends configuration messages to other nodes over the links.
pub(crate) struct LinkConfigPeers {
    own_vm: VmId,
    roster: Arc<Roster>,
    links: DeferredLinks,
}

impl LinkConfigPeers {
    pub(crate) fn new(own_vm: VmId, roster: Arc<Roster>, links: DeferredLinks) -> Self {
        Self {
            own_vm,
            roster,
            links,
        }
    }
}

#[async_trait::async_trait]
impl ConfigPeers for LinkConfigPeers {
    fn peers(&self) -> Vec<PeerView> {
        let nodes = self.roster.entry_vms().into_iter();
        let others = nodes.filter(|vm| vm.id != self.own_vm);
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
        let peer_error = |reason: String| Error::Peer {
            vm: vm.clone(),
            step: STEP,
            reason,
        };
        let msg = PeerMessage::Config(Box::new(msg));
        let reply = self.links.request(vm, msg, REPLY_TIMEOUT).await;
        match reply.map_err(|e| peer_error(e.to_string()))? {
            PeerMessage::Config(reply) => Ok(*reply),
            other => Err(peer_error(format!("unexpected answer {other:?}"))),
        }
    }
}

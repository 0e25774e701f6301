//! [`PeerHandler`].

use std::sync::Arc;

use oleanderpost::{
    admission::Admission,
    claims::Claims,
    config::Convergence,
    peers::{Handler, Roster},
    types::VmId,
};

use crate::PeerMessage;

/// Dispatches messages of peers to the components they belong to.
pub(crate) struct PeerHandler {
    pub(crate) admission: Admission,
    pub(crate) claims: Arc<Claims>,
    pub(crate) convergence: Convergence,
    pub(crate) roster: Arc<Roster>,
}

#[async_trait::async_trait]
impl Handler<PeerMessage> for PeerHandler {
    async fn handle(&self, from: &VmId, msg: PeerMessage) -> Option<PeerMessage> {
        match msg {
            PeerMessage::Permit(msg) => {
                let reply = self.admission.handle(from, *msg).await;
                reply.map(|reply| PeerMessage::Permit(Box::new(reply)))
            }
            PeerMessage::Claim(msg) => self.claims.handle(from, msg).map(PeerMessage::Claim),
            PeerMessage::Config(msg) => {
                let reply = self.convergence.handle(from, *msg);
                reply.map(|reply| PeerMessage::Config(Box::new(reply)))
            }
            PeerMessage::Roster(msg) => self.roster.handle(from, msg).map(PeerMessage::Roster),
        }
    }
}

//! [`WitnessRouter`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oleanderpost_types::VmId;

use crate::{ClaimMessage, Error, Result, WitnessClient, witness::Witness};

/// Sends messages to witnesses; those for this node's own witness are handled locally.
pub(crate) struct WitnessRouter {
    vm: VmId,
    witness: Mutex<Witness>,
    client: Arc<dyn WitnessClient>,
}

impl WitnessRouter {
    pub(crate) const fn new(vm: VmId, witness: Witness, client: Arc<dyn WitnessClient>) -> Self {
        Self {
            vm,
            witness: Mutex::new(witness),
            client,
        }
    }

    pub(crate) fn witness(&self) -> MutexGuard<'_, Witness> {
        self.witness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to one witness and returns its answer.
    pub(crate) async fn request(&self, vm: &VmId, msg: ClaimMessage) -> Result<ClaimMessage> {
        if *vm != self.vm {
            return self.client.request(vm, msg).await;
        }
        self.handle(msg).ok_or_else(|| Error::Unreachable {
            peer: vm.clone(),
            detail: "the message has no answer".to_owned(),
        })
    }

    /// Handles a message as a witness; `None` if it has no answer.
    pub(crate) fn handle(&self, msg: ClaimMessage) -> Option<ClaimMessage> {
        let mut witness = self.witness();
        match msg {
            ClaimMessage::Ask { key, claim } => Some(witness.handle_ask(key, claim)),
            ClaimMessage::Release { key, claim } => Some(witness.handle_release(key, claim)),
            ClaimMessage::Confirm(peer_confirmation) => witness.handle_confirm(peer_confirmation),
            _ => None,
        }
    }
}

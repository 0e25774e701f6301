//! [`PendingRequest`].

use std::sync::Arc;

use tokio::sync::oneshot;

use crate::{PermitKey, PermitMessage, lock, shared::Shared};

/// A permit request of this node that an owner has not decided yet. Dropping it withdraws the request.
pub(crate) struct PendingRequest {
    shared: Arc<Shared>,
    permit: PermitKey,
    decision: oneshot::Receiver<PermitMessage>,
    open: bool,
}

impl PendingRequest {
    pub(crate) fn new(shared: &Arc<Shared>, permit: PermitKey) -> Self {
        let (sender, decision) = oneshot::channel();
        lock(&shared.state)
            .pending_requests
            .insert(permit.clone(), sender);
        Self {
            shared: shared.clone(),
            permit,
            decision,
            open: true,
        }
    }

    /// Waits for the owner's decision.
    pub(crate) async fn decision(&mut self) -> Option<PermitMessage> {
        (&mut self.decision).await.ok()
    }

    /// Ends the wait without withdrawing the request, because the owner has decided.
    pub(crate) fn close(mut self) {
        self.open = false;
        lock(&self.shared.state)
            .pending_requests
            .remove(&self.permit);
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.open {
            self.shared.withdraw_request(&self.permit);
        }
    }
}

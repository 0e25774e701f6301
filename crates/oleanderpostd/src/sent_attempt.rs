//! [`SentAttempt`].

use std::sync::Arc;

use oleanderpost::{
    admission::{Completion, Permit},
    types::{Attempt, RequestKey},
};

use crate::{Node, UpstreamAddress};

/// An attempt at an upstream that has started and is not known to have ended.
pub(crate) struct SentAttempt {
    /// Permit of the attempt.
    pub(crate) permit: Permit,
    /// Upstream to which the attempt goes.
    pub(crate) upstream: UpstreamAddress,
    /// Number of the attempt.
    pub(crate) attempt: Attempt,
    /// Whether a byte of the request may have been written.
    pub(crate) written: bool,
}

impl SentAttempt {
    /// Cancels the attempt at the engine, if anything of it may have been sent, and closes the permit.
    pub(crate) async fn abandon(self, node: Arc<Node>, key: RequestKey) {
        if !self.written {
            self.permit.close(Completion::Declined);
            return;
        }
        node.metrics.cancels.inc();
        let cancelled = node
            .engine_client
            .cancel(&self.upstream, key, self.attempt)
            .await;
        let Err(e) = cancelled else {
            self.permit.close(Completion::Cancelled);
            return;
        };
        spdlog::warn!("failed to cancel the attempt; the owner of the engine will free its memory", kv: {
            key: = key, step = "cancel", peer: = self.upstream.id, error: = e
        });
        self.permit.close(Completion::Failed);
    }
}

//! [`SentAttempt`].

use std::sync::Arc;

use oleanderpost::{
    admission::{Completion, Permit},
    types::{Attempt, RequestKey},
};

use crate::{Node, UpstreamAddress};

/// One attempt that is sent and not yet known to have ended.
pub(crate) struct SentAttempt {
    /// Permit in use.
    pub(crate) permit: Permit,
    /// Upstream in use.
    pub(crate) upstream: UpstreamAddress,
    /// Number of the attempt.
    pub(crate) attempt: Attempt,
    /// Whether a byte of the request may have been written.
    pub(crate) written: bool,
}

impl SentAttempt {
    /// Cancels what may run at the engine and closes the permit.
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
        spdlog::warn!("cancel failed; the owner frees the memory", kv: {
            key: = key, step = "cancel", peer: = self.upstream.id, error: = e
        });
        self.permit.close(Completion::Failed);
    }
}

//! [`Permit`].

use std::sync::Arc;

use oleanderpost_types::{Priority, RequestKey, Tokens, UpstreamId};
use tokio::time::Instant;

use crate::{
    Completion,
    shared::{HeldPermitId, Shared},
};

/// Permission to use one upstream, or a group of engines, for one attempt at a request.
///
/// Renewed in the background until it is closed. Dropping it without calling [`close`](Self::close)
/// closes it as [`Completion::Cancelled`].
#[derive(Debug)]
pub struct Permit {
    pub(crate) shared: Arc<Shared>,
    pub(crate) upstreams: Vec<UpstreamId>,
    pub(crate) id: HeldPermitId,
    pub(crate) reservation: Option<RequestKey>,
    pub(crate) priority: Priority,
    pub(crate) usable_until: Instant,
    pub(crate) cached: Tokens,
    pub(crate) open: bool,
}

impl Permit {
    /// Upstream to send the request to; for a group, its first engine.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstreams[0]
    }

    /// All upstreams, sorted by name.
    #[must_use]
    pub fn upstreams(&self) -> &[UpstreamId] {
        &self.upstreams
    }

    /// Reservation that the request must refer to; only groups have one.
    #[must_use]
    pub fn reservation(&self) -> Option<RequestKey> {
        self.reservation
    }

    /// Priority of the request at the upstream.
    #[must_use]
    pub fn priority(&self) -> Priority {
        self.priority
    }

    /// Estimated number of prompt tokens in the engine's cache.
    #[must_use]
    pub fn cached_tokens(&self) -> Tokens {
        self.cached
    }

    /// Whether the request may be sent now. Must be checked immediately before sending the first byte,
    /// because a process that was paused since the grant must not use the permit.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        Instant::now() < self.usable_until && self.shared.holds_permit(self.id)
    }

    /// Records that the first token arrived.
    pub fn record_first_token(&self) {
        self.shared.record_first_token(self.id);
    }

    /// Ends the use of the upstream and reports the outcome to the owner.
    pub fn close(mut self, completion: Completion) {
        self.open = false;
        self.shared
            .close_permit(self.id, completion, self.reservation.is_some());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.open {
            let reservation = self.reservation.is_some();
            self.shared
                .close_permit(self.id, Completion::Cancelled, reservation);
        }
    }
}

//! [`Permit`].

use std::sync::Arc;

use oleanderpost_types::{Priority, RequestKey, Tokens, UpstreamId};
use tokio::time::Instant;

use crate::{
    Completion,
    shared::{HeldPermitId, Shared},
};

/// Leave to use one upstream, or a group of engines, for one attempt at a request.
///
/// It is renewed in the background for as long as it lives. One that is dropped without
/// [`close`](Self::close) is closed as [`Completion::Cancelled`].
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
    /// The upstream to send the request to; the first one of a group.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstreams[0]
    }

    /// All upstreams, in the order of their names.
    #[must_use]
    pub fn upstreams(&self) -> &[UpstreamId] {
        &self.upstreams
    }

    /// Reservation that the request must name; only groups have one.
    #[must_use]
    pub fn reservation(&self) -> Option<RequestKey> {
        self.reservation
    }

    /// Priority to use at the upstream.
    #[must_use]
    pub fn priority(&self) -> Priority {
        self.priority
    }

    /// Prompt tokens that the engine is believed to have in its cache.
    #[must_use]
    pub fn cached_tokens(&self) -> Tokens {
        self.cached
    }

    /// Whether the request may be sent now. To be asked right before the first byte goes out:
    /// a process that was paused since the grant must not use it.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        Instant::now() < self.usable_until && self.shared.holds_permit(self.id)
    }

    /// Says that the first token came.
    pub fn record_first_token(&self) {
        self.shared.record_first_token(self.id);
    }

    /// Ends the use of the upstream.
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

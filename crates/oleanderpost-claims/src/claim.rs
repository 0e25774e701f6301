//! [`Claim`].

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use oleanderpost_types::{RequestKey, VmId};
use tokio::time::{Instant, timeout};

use crate::{ClaimEnd, ClaimId, ClaimMessage, Refusal, witness_router::WitnessRouter};

/// Maximum time for the release of a key.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// The right to dispatch the request with a key once. If a claim is dropped without being closed, its key
/// stays taken.
#[must_use]
pub struct Claim {
    key: RequestKey,
    id: ClaimId,
    deadline: Instant,
    witnesses: Vec<VmId>,
    router: Arc<WitnessRouter>,
}

impl Claim {
    pub(crate) const fn new(
        key: RequestKey,
        id: ClaimId,
        deadline: Instant,
        witnesses: Vec<VmId>,
        router: Arc<WitnessRouter>,
    ) -> Self {
        Self {
            key,
            id,
            deadline,
            witnesses,
            router,
        }
    }

    /// The claimed key.
    #[must_use]
    pub const fn key(&self) -> RequestKey {
        self.key
    }

    /// Identifier of the claim.
    #[must_use]
    pub const fn id(&self) -> ClaimId {
        self.id
    }

    /// Checks that the deadline of the request has not passed. Must be called immediately before the
    /// dispatch, since the process may have been paused. The claim itself does not expire: its witnesses
    /// refuse the key to all other claims.
    ///
    /// # Errors
    ///
    /// [`Refusal::DeadlineExceeded`]; the claim must then be closed with [`ClaimEnd::NotRun`].
    pub fn check_deadline(&self) -> Result<(), Refusal> {
        if Instant::now() >= self.deadline {
            return Err(Refusal::DeadlineExceeded);
        }
        Ok(())
    }

    /// Closes the claim. With [`ClaimEnd::NotRun`] the key is released at the witnesses, so that a later
    /// request with the same key may run.
    pub async fn close(self, end: ClaimEnd) {
        if end == ClaimEnd::Dispatched {
            return;
        }
        let msg = ClaimMessage::Release {
            key: self.key,
            claim: self.id,
        };
        let releases = self.witnesses.iter().map(|vm| self.router.request(vm, msg));
        let _ = timeout(RELEASE_TIMEOUT, join_all(releases)).await;
    }
}

impl std::fmt::Debug for Claim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claim")
            .field("key", &self.key)
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

//! [`Claim`].

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use oleanderpost_types::{RequestKey, VmId};
use tokio::time::{Instant, timeout};

use crate::{ClaimEnd, ClaimId, ClaimMessage, Refusal, asker::Asker};

/// Time that giving a key back may take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// The right to dispatch the request with a key once. A claim that is dropped leaves its key taken.
#[must_use]
pub struct Claim {
    key: RequestKey,
    id: ClaimId,
    deadline: Instant,
    witnesses: Vec<VmId>,
    asker: Arc<Asker>,
}

impl Claim {
    pub(crate) const fn new(
        key: RequestKey,
        id: ClaimId,
        deadline: Instant,
        witnesses: Vec<VmId>,
        asker: Arc<Asker>,
    ) -> Self {
        Self {
            key,
            id,
            deadline,
            witnesses,
            asker,
        }
    }

    /// Key that was claimed.
    #[must_use]
    pub const fn key(&self) -> RequestKey {
        self.key
    }

    /// Identifier of the claim.
    #[must_use]
    pub const fn id(&self) -> ClaimId {
        self.id
    }

    /// Checks right before the dispatch that the time limit has not passed: the process may have been paused. The
    /// claim itself does not expire: its witnesses refuse the key for good.
    ///
    /// # Errors
    ///
    /// [`Refusal::DeadlineExceeded`]; close the claim with [`ClaimEnd::NotRun`] then.
    pub fn check_deadline(&self) -> Result<(), Refusal> {
        if Instant::now() >= self.deadline {
            return Err(Refusal::DeadlineExceeded);
        }
        Ok(())
    }

    /// Ends the claim. With [`ClaimEnd::NotRun`] the witnesses get the key back, so that a later try may run.
    pub async fn close(self, end: ClaimEnd) {
        if end == ClaimEnd::Dispatched {
            return;
        }
        let msg = ClaimMessage::Release {
            key: self.key,
            claim: self.id,
        };
        let releases = self.witnesses.iter().map(|vm| self.asker.ask(vm, msg));
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

//! [`DiscoverySource`].

use std::time::Duration;

use crate::{ServingConfig, Upstream, UpstreamId};

/// Position in the history of the store.
pub type Revision = u64;

/// Change of one upstream's entry.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamChange {
    /// The entry was written.
    Put(Upstream),
    /// The entry was removed, or names no upstream to use.
    Removed(UpstreamId),
}

/// What has changed, or the whole state.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryUpdate {
    /// Position from which to go on.
    pub revision: Revision,
    /// Newest configuration, if there is a new one.
    pub config: Option<ServingConfig>,
    /// Changes of entries, in order.
    pub upstreams: Vec<UpstreamChange>,
}

/// Why a question to the store has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiscoveryError {
    /// The history from the position on is gone: the whole state must be read.
    #[error("the history is no longer available")]
    RevisionExpired,
    /// The question was given up, since no peer vouches for the node's knowledge any longer.
    #[error("no peer vouches for this node")]
    PeerConfirmationLost,
    /// The store did not answer, or not as agreed.
    #[error("{step}: {cause}")]
    Failed {
        /// Step that failed.
        step: &'static str,
        /// Cause.
        cause: String,
    },
}

/// The platform's store, which publishes the configuration and the upstreams.
#[async_trait::async_trait]
pub trait DiscoverySource: Send + Sync {
    /// The whole state, with the entries of all upstreams as [`UpstreamChange::Put`].
    ///
    /// # Errors
    ///
    /// [`DiscoveryError::Failed`].
    async fn snapshot(&self) -> Result<DiscoveryUpdate, DiscoveryError>;

    /// Changes after a position; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError`].
    async fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<DiscoveryUpdate, DiscoveryError>;
}

//! [`RosterTransport`].

use std::time::Duration;

use oleanderpost_types::VmId;

use crate::{Reachability, Result, RosterMessage};

/// The way from a [`Roster`](crate::Roster) to those of other nodes.
#[async_trait::async_trait]
pub trait RosterTransport: Send + Sync {
    /// Asks a peer and waits for its answer.
    ///
    /// # Errors
    ///
    /// As [`Links::request`](crate::Links::request).
    async fn request(
        &self,
        to: &VmId,
        msg: RosterMessage,
        time_limit: Duration,
    ) -> Result<RosterMessage>;

    /// Queues a message that wants no answer; it may be lost.
    fn send(&self, to: &VmId, msg: RosterMessage);

    /// What this node's own links know of a peer.
    fn reachability(&self, peer: &VmId) -> Reachability;
}

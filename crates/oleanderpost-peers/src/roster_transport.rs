//! [`RosterTransport`].

use std::time::Duration;

use oleanderpost_types::VmId;

use crate::{Reachability, Result, RosterMessage};

/// Sends the messages of a [`Roster`](crate::Roster) to the rosters of other nodes.
#[async_trait::async_trait]
pub trait RosterTransport: Send + Sync {
    /// Sends a message to a peer and waits for its answer.
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

    /// Queues a message that expects no answer; it may be lost.
    fn send(&self, to: &VmId, msg: RosterMessage);

    /// Reachability of a peer as seen by this node's own links.
    fn reachability(&self, peer: &VmId) -> Reachability;
}

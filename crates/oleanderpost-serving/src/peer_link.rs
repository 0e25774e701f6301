//! [`PeerLink`].

use std::time::Duration;

use oleanderpost_peers::Links;
use oleanderpost_types::VmId;

use crate::SchedulerMessage;

/// Connections for scheduler messages to other nodes.
#[async_trait::async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends a message and waits for the reply; `None` if there is none within `limit`.
    async fn request(
        &self,
        to: &VmId,
        msg: SchedulerMessage,
        limit: Duration,
    ) -> Option<SchedulerMessage>;

    /// Queues a message that needs no reply; `false` if it was dropped. A queued message may still be lost.
    fn send(&self, to: &VmId, msg: &SchedulerMessage) -> bool;
}

#[async_trait::async_trait]
impl PeerLink for Links<SchedulerMessage> {
    async fn request(
        &self,
        to: &VmId,
        msg: SchedulerMessage,
        limit: Duration,
    ) -> Option<SchedulerMessage> {
        match Self::request(self, to, msg, limit).await {
            Ok(reply) => Some(reply),
            Err(e) => {
                spdlog::debug!("request to peer failed", kv: { peer: = to, error: = e });
                None
            }
        }
    }

    fn send(&self, to: &VmId, msg: &SchedulerMessage) -> bool {
        let sent = Self::send(self, to, msg);
        if let Err(e) = &sent {
            spdlog::debug!("message to peer dropped", kv: { peer: = to, error: = e });
        }
        sent.is_ok()
    }
}

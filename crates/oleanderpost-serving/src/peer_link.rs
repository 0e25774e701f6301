//! [`PeerLink`].

use std::time::Duration;

use oleanderpost_peers::Links;
use oleanderpost_types::VmId;

use crate::SchedulerMessage;

/// Messages to other nodes.
#[async_trait::async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends a message and waits for its answer; `None` without one in time.
    async fn request(
        &self,
        to: &VmId,
        msg: SchedulerMessage,
        limit: Duration,
    ) -> Option<SchedulerMessage>;

    /// Queues a message that wants no answer; `false` if it certainly does not arrive.
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
            Ok(answer) => Some(answer),
            Err(e) => {
                spdlog::debug!("peer did not answer", kv: { peer: = to, error: = e });
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

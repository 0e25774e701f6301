//! [`WitnessClient`].

use async_trait::async_trait;

use oleanderpost_types::VmId;

use crate::{ClaimMessage, Result};

/// Sends claim messages to other nodes.
#[async_trait]
pub trait WitnessClient: Send + Sync {
    /// Sends `msg` to the node on `vm` and returns its answer. An answer that arrives after the future was
    /// dropped is ignored.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`](crate::Error::Unreachable) if no answer arrived; the peer may still have
    /// processed the message.
    async fn request(&self, vm: &VmId, msg: ClaimMessage) -> Result<ClaimMessage>;
}

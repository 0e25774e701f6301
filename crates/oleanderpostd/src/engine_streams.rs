//! [`EngineStreams`].

use oleanderpost::{
    dispatch::{Result, StreamConnection, StreamSource},
    types::{RequestKey, StreamStatus},
};

use crate::{EngineClient, UpstreamAddress};

/// [`StreamSource`] for the streams of one engine, over HTTP.
pub(crate) struct EngineStreams {
    client: EngineClient,
    to: UpstreamAddress,
}

impl EngineStreams {
    pub(crate) fn new(client: EngineClient, to: UpstreamAddress) -> Self {
        Self { client, to }
    }
}

#[async_trait::async_trait]
impl StreamSource for EngineStreams {
    async fn status(&self, key: RequestKey) -> Result<StreamStatus> {
        let status = self.client.status(&self.to, key).await;
        status.map_err(|e| e.into_dispatch_error("stream status", &self.to.id))
    }

    async fn resume(&self, key: RequestKey, offset: u64) -> Result<Box<dyn StreamConnection>> {
        let resumed = self.client.resume(&self.to, key, offset).await;
        let events = resumed.map_err(|e| e.into_dispatch_error("resume", &self.to.id))?;
        spdlog::info!("stream resumed", kv: {
            key: = key, step = "resume", peer: = self.to.id, offset
        });
        Ok(Box::new(events))
    }
}

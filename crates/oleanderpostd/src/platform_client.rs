//! [`PlatformClient`].

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HOST};
use oleanderpost::{
    config::{self, ConfigSource},
    peers::{self, VmSource},
    types::{ConfigReply, Millis, Revision, VmList},
};
use serde::de::DeserializeOwned;

use crate::{Connection, Error, Result};

const PEER_NAME: &str = "platform";

/// Time after the requested wait at which a long poll fails.
const WATCH_MARGIN: Duration = Duration::from_secs(3);

/// HTTP client of the platform's configuration service and VM list.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    address: SocketAddr,
    connect_timeout: Duration,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
        }
    }

    async fn watch<T: DeserializeOwned>(
        &self,
        step: &'static str,
        resource: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<T> {
        let path = format!("/v1/{resource}?after={after}&wait_ms={wait}");
        let req = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|e| Error::Exchange {
                step,
                peer: PEER_NAME.to_owned(),
                detail: e.to_string(),
            })?;
        let conn = Connection::open(PEER_NAME, self.address, self.connect_timeout).await?;
        conn.send_for_json(step, req, Duration::from(wait) + WATCH_MARGIN)
            .await
    }
}

#[async_trait::async_trait]
impl ConfigSource for PlatformClient {
    async fn changes(&self, after: Revision, wait: Millis) -> Result<ConfigReply, config::Error> {
        let reply = self.watch("watch files", "config", after, wait).await;
        reply.map_err(|e| config::Error::Source(e.to_string()))
    }
}

#[async_trait::async_trait]
impl VmSource for PlatformClient {
    async fn list(&self, after: Revision, wait: Millis) -> Result<VmList, peers::Error> {
        let list = self.watch("watch VM list", "vms", after, wait).await;
        list.map_err(|e| peers::Error::Source(e.to_string()))
    }
}

//! [`Upstream`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, ServiceName, UpstreamId};

/// A running upstream, as registered in the discovery store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier in the discovery store.
    pub id: UpstreamId,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: DataCentreName,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Whether the upstream has announced that it is shutting down.
    pub draining: bool,
    /// Start time of the process in milliseconds since 1970. A different value means another process with the
    /// same identifier.
    pub started_at: Option<u64>,
    /// Time for which the process stays cold, in milliseconds, as stated in the entry.
    #[serde(default)]
    pub cold_left_ms: Option<u64>,
}

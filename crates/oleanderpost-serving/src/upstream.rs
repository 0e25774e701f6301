//! [`Upstream`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, ServiceName, UpstreamId};

/// One running upstream, as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it has announced that it will stop.
    pub draining: bool,
    /// Wall-clock millisecond of its start; another value is another process under the same identifier.
    pub started_at: Option<u64>,
}

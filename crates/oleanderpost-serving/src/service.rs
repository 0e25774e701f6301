//! [`Service`].

use serde::{Deserialize, Serialize};

use crate::EngineProfile;

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one upstream takes from all nodes together, if it states a limit.
    pub max_connections: Option<u32>,
    /// Speed and size, if the upstreams are model engines.
    pub engine: Option<EngineProfile>,
}

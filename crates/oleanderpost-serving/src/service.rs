//! [`Service`].

use serde::{Deserialize, Serialize};

use crate::{ColdLimit, EngineProfile};

/// Settings of a group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Limit on the connections from all nodes to one upstream, if there is one.
    pub max_connections: Option<u32>,
    /// Speed and memory of the engines, if the upstreams are model engines.
    pub engine: Option<EngineProfile>,
    /// Limit on the requests to an upstream that has just started, if there is one.
    #[serde(default)]
    pub cold: Option<ColdLimit>,
}

//! [`Order`].

use serde::{Deserialize, Serialize};

use crate::{EngineRole, FencingNumber, ModelName, VmId};

/// Order to an engine (`POST /v1/orders`). It states the complete set of what to load, not a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; engines that honour fencing refuse one lower than the highest they have received.
    pub fencing: FencingNumber,
    /// VM that sends the order.
    pub holder: VmId,
    /// Model to load.
    pub model: ModelName,
    /// Version of the model.
    pub version: u64,
    /// Adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<ModelName>,
    /// Role that the engine takes.
    pub role: EngineRole,
}

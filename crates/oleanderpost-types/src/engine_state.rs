//! [`EngineState`].

use serde::{Deserialize, Serialize};

use crate::{EngineRole, FencingNumber, ModelName};

/// Loaded model, adapters and role of an engine (`GET /v1/state`, and the response to an order).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Loaded model.
    pub model: ModelName,
    /// Version of the loaded model.
    pub version: u64,
    /// Loaded adapters.
    pub adapters: Vec<ModelName>,
    /// Current role.
    pub role: EngineRole,
    /// Highest fencing number received so far.
    pub fencing: FencingNumber,
    /// Whether a load is in progress.
    pub loading: bool,
}

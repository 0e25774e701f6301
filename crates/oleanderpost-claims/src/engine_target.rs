//! [`EngineTarget`].

use oleanderpost_types::{
    EngineRole, EngineState, FencingNumber, ModelName, Order, UpstreamId, VmId,
};

/// Model, version, adapters and role that an engine must hold according to the accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// The engine.
    pub engine: UpstreamId,
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: u64,
    /// Adapters, in any order.
    pub adapters: Vec<ModelName>,
    /// Role.
    pub role: EngineRole,
    /// Position in the sequence in which the engines of the service load; limits the load on the weight
    /// store.
    pub rank: u32,
}

impl EngineTarget {
    /// Whether an engine in this state holds the whole target.
    #[must_use]
    pub fn is_held_by(&self, state: &EngineState) -> bool {
        self.model == state.model
            && self.version == state.version
            && self.role == state.role
            && sorted(&self.adapters) == sorted(&state.adapters)
    }

    /// The order that makes the engine load the target.
    #[must_use]
    pub fn to_order(&self, fencing: FencingNumber, holder: &VmId) -> Order {
        Order {
            fencing,
            holder: holder.clone(),
            model: self.model.clone(),
            version: self.version,
            adapters: self.adapters.clone(),
            role: self.role,
        }
    }
}

fn sorted(names: &[ModelName]) -> Vec<&ModelName> {
    let mut names: Vec<_> = names.iter().collect();
    names.sort_unstable();
    names.dedup();
    names
}

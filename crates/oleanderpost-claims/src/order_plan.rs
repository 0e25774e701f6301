//! [`OrderPlan`] and [`PlanSource`].

use oleanderpost_types::FencingNumber;
use tokio::time::Instant;

use crate::EngineTarget;

/// Targets of the engines for which a node is responsible.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    /// Fencing number of the configuration from which the targets are derived.
    pub fencing: FencingNumber,
    /// When the platform or a peer last confirmed that this configuration is the newest.
    pub confirmed_at: Instant,
    /// Targets of the engines to which this node sends orders.
    pub targets: Vec<EngineTarget>,
}

/// Derives the plan from the configuration currently in force.
pub trait PlanSource: Send + Sync {
    /// The current plan; `None` before the first accepted configuration.
    fn plan(&self) -> Option<OrderPlan>;
}

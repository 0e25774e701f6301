//! [`OrderReconcilerBuilder`].

use std::sync::Arc;

use oleanderpost_types::VmId;

use crate::{OrderClient, OrderLimits, OrderReconciler, PlanSource};

/// Builds [`OrderReconciler`].
pub struct OrderReconcilerBuilder {
    vm: VmId,
    source: Arc<dyn PlanSource>,
    client: Arc<dyn OrderClient>,
    limits: OrderLimits,
}

impl OrderReconcilerBuilder {
    /// Uses the default limits.
    pub fn new(vm: VmId, source: Arc<dyn PlanSource>, client: Arc<dyn OrderClient>) -> Self {
        Self {
            vm,
            source,
            client,
            limits: OrderLimits::default(),
        }
    }

    /// Sets the limits.
    #[must_use]
    pub const fn with_limits(mut self, limits: OrderLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Builds the reconciler of one node.
    #[must_use]
    pub fn build(self) -> OrderReconciler {
        OrderReconciler::new(self.vm, self.source, self.client, self.limits)
    }
}

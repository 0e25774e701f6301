//! [`OrderTracker`].

use std::collections::{BTreeMap, BTreeSet};

use oleanderpost_types::{FencingNumber, UpstreamId};
use tokio::time::Instant;

use crate::{EngineTarget, OrderLimits, OrderPlan, OrderStatus, OrdersDump};

/// Progress of one node's orders under the current plan.
#[derive(Default)]
pub(crate) struct OrderTracker {
    plan_started_at: Option<Instant>,
    loading: BTreeMap<UpstreamId, Instant>,
    reached_target: BTreeSet<UpstreamId>,
    pub(crate) dump: OrdersDump,
}

impl OrderTracker {
    /// Applies a plan; a new fencing number resets the pacing of loads.
    pub(crate) fn set_plan(&mut self, plan: &OrderPlan, limits: &OrderLimits) {
        let now = Instant::now();
        if self.plan_started_at.is_none() || self.dump.fencing != plan.fencing {
            self.plan_started_at = Some(now);
            self.reached_target.clear();
        }
        self.dump.fencing = plan.fencing;
        let planned: BTreeSet<_> = plan.targets.iter().map(|target| &target.engine).collect();
        self.dump
            .engines
            .retain(|engine, _| planned.contains(engine));
        self.reached_target
            .retain(|engine| planned.contains(engine));
        self.loading
            .retain(|engine, since| planned.contains(engine) && now < *since + limits.load_timeout);
    }

    /// Records the status of an engine.
    pub(crate) fn record_status(&mut self, engine: &UpstreamId, status: OrderStatus) {
        if status == OrderStatus::Held {
            self.reached_target.insert(engine.clone());
            self.loading.remove(engine);
        }
        self.dump.engines.insert(engine.clone(), status);
    }

    /// Returns whether the engine may start to load now and, if so, counts it as loading. An engine that has
    /// already held its target under this plan is corrected without waiting for its position in the load
    /// sequence.
    pub(crate) fn try_start_load(
        &mut self,
        target: &EngineTarget,
        fencing: FencingNumber,
        limits: &OrderLimits,
    ) -> bool {
        if fencing != self.dump.fencing {
            return false;
        }
        let is_correction = self.reached_target.contains(&target.engine);
        let start_after_secs = f64::from(target.rank) / limits.loads_per_second;
        let elapsed_secs = self
            .plan_started_at
            .map_or(0.0, |started| started.elapsed().as_secs_f64());
        let at_limit = self.loading.len() >= limits.max_concurrent_loads
            && !self.loading.contains_key(&target.engine);
        if at_limit || (!is_correction && elapsed_secs < start_after_secs) {
            return false;
        }
        self.loading.insert(target.engine.clone(), Instant::now());
        self.dump.orders += 1;
        self.dump.corrections += u64::from(is_correction);
        true
    }

    /// Records that an engine refused an order.
    pub(crate) fn record_refusal(&mut self, engine: &UpstreamId) {
        self.loading.remove(engine);
        self.dump.refusals += 1;
    }
}

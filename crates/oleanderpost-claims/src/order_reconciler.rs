//! [`OrderReconciler`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{StreamExt, stream};
use oleanderpost_types::{EngineState, FencingNumber, UpstreamId, VmId};
use tokio::time::{Instant, sleep_until, timeout};

use crate::{
    EngineTarget, Error, OrderClient, OrderLimits, OrderPlan, OrderStatus, OrdersDump, PlanSource,
    Result, order_tracker::OrderTracker,
};

/// Maximum number of engines that are reconciled at the same time.
const MAX_CONCURRENT_ENGINES: usize = 16;

/// Sends orders to the engines for which this node is responsible, until they hold their targets.
///
/// Each round reads the state of each engine and sends an order only if the state differs from the target. If
/// a node with an older configuration sends an order in between, the next round detects and corrects it.
pub struct OrderReconciler {
    vm: VmId,
    source: Arc<dyn PlanSource>,
    client: Arc<dyn OrderClient>,
    limits: OrderLimits,
    tracker: Mutex<OrderTracker>,
}

impl OrderReconciler {
    pub(crate) fn new(
        vm: VmId,
        source: Arc<dyn PlanSource>,
        client: Arc<dyn OrderClient>,
        limits: OrderLimits,
    ) -> Self {
        Self {
            vm,
            source,
            client,
            limits,
            tracker: Mutex::default(),
        }
    }

    /// Keeps the engines at their targets. Never returns; drop the future to stop it.
    pub async fn run(&self) {
        loop {
            let next = Instant::now() + self.limits.period;
            self.round().await;
            sleep_until(next).await;
        }
    }

    async fn round(&self) {
        let Some(plan) = self.source.plan() else {
            return;
        };
        self.tracker().set_plan(&plan, &self.limits);
        let targets = stream::iter(plan.targets);
        let reconcile = |target: EngineTarget| self.reconcile_and_record(target, plan.fencing);
        targets
            .for_each_concurrent(MAX_CONCURRENT_ENGINES, reconcile)
            .await;
    }

    async fn reconcile_and_record(&self, target: EngineTarget, fencing: FencingNumber) {
        let status = self.reconcile_engine(&target, fencing).await;
        self.tracker().record_status(&target.engine, status);
    }

    /// Compares one engine with its target and sends an order if needed and allowed.
    async fn reconcile_engine(&self, target: &EngineTarget, fencing: FencingNumber) -> OrderStatus {
        let Ok(state) = self.read_state(&target.engine).await else {
            return OrderStatus::Unreachable;
        };
        if state.fencing > fencing {
            return OrderStatus::Outranked;
        }
        if state.loading {
            return OrderStatus::Loading;
        }
        if target.is_held_by(&state) {
            return OrderStatus::Held;
        }
        if !self.is_current(target, fencing) {
            return OrderStatus::Stale;
        }
        if !self.tracker().try_start_load(target, fencing, &self.limits) {
            return OrderStatus::Waiting;
        }
        self.send_order(target, fencing).await
    }

    async fn read_state(&self, engine: &UpstreamId) -> Result<EngineState> {
        let answer = timeout(self.limits.call_timeout, self.client.state(engine)).await;
        answer.unwrap_or_else(|_| Err(self.timeout_error(engine, "read state")))
    }

    /// Whether the current plan still contains the target and was confirmed recently. Checked again before
    /// each order, since the process may have been paused.
    fn is_current(&self, target: &EngineTarget, fencing: FencingNumber) -> bool {
        self.source.plan().is_some_and(|plan: OrderPlan| {
            plan.fencing == fencing
                && plan.confirmed_at.elapsed() <= self.limits.max_plan_age
                && plan.targets.contains(target)
        })
    }

    async fn send_order(&self, target: &EngineTarget, fencing: FencingNumber) -> OrderStatus {
        let order = target.to_order(fencing, &self.vm);
        let answer = timeout(
            self.limits.call_timeout,
            self.client.order(&target.engine, order),
        )
        .await;
        match answer.unwrap_or_else(|_| Err(self.timeout_error(&target.engine, "order"))) {
            Ok(_) => OrderStatus::Ordered,
            Err(Error::Refused { .. }) => {
                self.tracker().record_refusal(&target.engine);
                OrderStatus::Refused
            }
            Err(_) => OrderStatus::Unreachable,
        }
    }

    fn timeout_error(&self, engine: &UpstreamId, step: &'static str) -> Error {
        Error::Upstream {
            step,
            upstream: engine.clone(),
            detail: format!(
                "no answer within {} ms",
                self.limits.call_timeout.as_millis()
            ),
        }
    }

    /// State shown to operators.
    #[must_use]
    pub fn dump(&self) -> OrdersDump {
        self.tracker().dump.clone()
    }

    fn tracker(&self) -> MutexGuard<'_, OrderTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! [`OrderReconciler`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::{StreamExt, stream};
use oleanderpost_types::{EngineState, FencingNumber, UpstreamId, VmId};
use tokio::time::{Instant, sleep_until, timeout};

use crate::{
    EngineTarget, Error, OrderClient, OrderLimits, OrderPlan, OrderStatus, OrdersDump, PlanSource,
    Result, order_book::OrderBook,
};

/// Engines that are asked at the same time.
const ENGINES_AT_ONCE: usize = 16;

/// Orders of one node to the engines that it is responsible for.
///
/// Each round reads each engine's state, and orders only what differs from the target. An order that an older node
/// gave in between is found by the next round and corrected.
pub struct OrderReconciler {
    vm: VmId,
    source: Arc<dyn PlanSource>,
    client: Arc<dyn OrderClient>,
    limits: OrderLimits,
    book: Mutex<OrderBook>,
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
            book: Mutex::default(),
        }
    }

    /// Keeps the engines at their targets; never returns. Drop the future to stop it.
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
        self.book().begin(&plan, &self.limits);
        let targets = stream::iter(plan.targets);
        let keep = |target: EngineTarget| self.keep(target, plan.fencing);
        targets.for_each_concurrent(ENGINES_AT_ONCE, keep).await;
    }

    async fn keep(&self, target: EngineTarget, fencing: FencingNumber) {
        let status = self.settle(&target, fencing).await;
        self.book().note(&target.engine, status);
    }

    /// Brings one engine nearer to its target.
    async fn settle(&self, target: &EngineTarget, fencing: FencingNumber) -> OrderStatus {
        let Ok(state) = self.state(&target.engine).await else {
            return OrderStatus::Unreachable;
        };
        if state.fencing > fencing {
            return OrderStatus::Outranked;
        }
        if state.loading {
            return OrderStatus::Loading;
        }
        if target.is_held(&state) {
            return OrderStatus::Held;
        }
        if !self.is_current(target, fencing) {
            return OrderStatus::Stale;
        }
        if !self.book().admit(target, fencing, &self.limits) {
            return OrderStatus::Waiting;
        }
        self.give(target, fencing).await
    }

    async fn state(&self, engine: &UpstreamId) -> Result<EngineState> {
        let answer = timeout(self.limits.call_timeout, self.client.state(engine)).await;
        answer.unwrap_or_else(|_| Err(self.silent(engine, "read state")))
    }

    /// Whether the plan in force right now still says so and was confirmed of late: the process may have been paused.
    fn is_current(&self, target: &EngineTarget, fencing: FencingNumber) -> bool {
        self.source.plan().is_some_and(|plan: OrderPlan| {
            plan.fencing == fencing
                && plan.confirmed_at.elapsed() <= self.limits.max_plan_age
                && plan.targets.contains(target)
        })
    }

    async fn give(&self, target: &EngineTarget, fencing: FencingNumber) -> OrderStatus {
        let order = target.order(fencing, &self.vm);
        let answer = timeout(
            self.limits.call_timeout,
            self.client.order(&target.engine, order),
        )
        .await;
        match answer.unwrap_or_else(|_| Err(self.silent(&target.engine, "order"))) {
            Ok(_) => OrderStatus::Ordered,
            Err(Error::Refused { .. }) => {
                self.book().refused(&target.engine);
                OrderStatus::Refused
            }
            Err(_) => OrderStatus::Unreachable,
        }
    }

    fn silent(&self, engine: &UpstreamId, step: &'static str) -> Error {
        Error::Upstream {
            step,
            upstream: engine.clone(),
            detail: format!(
                "no answer within {} ms",
                self.limits.call_timeout.as_millis()
            ),
        }
    }

    /// State for operators.
    #[must_use]
    pub fn dump(&self) -> OrdersDump {
        self.book().dump.clone()
    }

    fn book(&self) -> MutexGuard<'_, OrderBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

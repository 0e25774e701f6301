//! Simulated engines that receive orders, and nodes with real `OrderReconciler`s.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use oleanderpost_claims::{
    EngineTarget, Error, ModelTarget, OrderClient, OrderLimits, OrderPlan, OrderReconciler,
    OrderReconcilerBuilder, PlanSource, Result, ServiceTarget, fencing_number,
};
use oleanderpost_types::{
    EngineRole, EngineState, FencingNumber, Generation, ModelName, Order, Revision, ServiceName,
    UpstreamId, VmId,
};
use tokio::{task::JoinHandle, time::Instant};

/// Time that an engine takes to load a version.
pub(crate) const LOAD_TIME: Duration = Duration::from_secs(3);

pub(crate) fn engine_name(number: usize) -> UpstreamId {
    UpstreamId::new(&format!("engine-{number}")).unwrap()
}

fn model(version: u64) -> ModelTarget {
    ModelTarget {
        name: ModelName::new("drafting").unwrap(),
        version,
        adapters: Vec::new(),
    }
}

/// A service whose rollout to the next version has reached `percent`.
pub(crate) fn service(engines: usize, version: u64, percent: u8) -> ServiceTarget {
    ServiceTarget {
        service: ServiceName::new("drafting").unwrap(),
        engines: (0..engines).map(engine_name).collect(),
        model: model(version),
        rollout: Some((model(version + 1), percent)),
        role: EngineRole::Both,
    }
}

/// One engine.
struct Engine {
    state: EngineState,
    loading_until: Option<Instant>,
}

/// The engines, and the events that tests check.
pub(crate) struct Engines {
    engines: Mutex<BTreeMap<UpstreamId, Engine>>,
    honours_fencing: bool,
    paused: Mutex<BTreeSet<VmId>>,
    pub(crate) orders: Mutex<Vec<(Instant, Order)>>,
    pub(crate) max_concurrent_loads: Mutex<usize>,
}

impl Engines {
    pub(crate) fn new(count: usize, honours_fencing: bool) -> Arc<Self> {
        let state = EngineState {
            model: ModelName::new("drafting").unwrap(),
            version: 1,
            adapters: Vec::new(),
            role: EngineRole::Both,
            fencing: FencingNumber::new(0),
            loading: false,
        };
        let engine = |number| {
            let state = state.clone();
            (
                engine_name(number),
                Engine {
                    state,
                    loading_until: None,
                },
            )
        };
        Arc::new(Self {
            engines: Mutex::new((0..count).map(engine).collect()),
            honours_fencing,
            paused: Mutex::default(),
            orders: Mutex::default(),
            max_concurrent_loads: Mutex::default(),
        })
    }

    pub(crate) fn set_paused(&self, vm: &VmId, paused: bool) {
        let mut all = self.paused.lock().unwrap();
        if paused {
            all.insert(vm.clone());
        } else {
            all.remove(vm);
        }
    }

    async fn wait_while_paused(&self, vm: &VmId) {
        while self.paused.lock().unwrap().contains(vm) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, Engine>> {
        let mut engines = self.engines.lock().unwrap();
        for engine in engines.values_mut() {
            if engine
                .loading_until
                .is_some_and(|until| until <= Instant::now())
            {
                engine.loading_until = None;
                engine.state.loading = false;
            }
        }
        engines
    }

    pub(crate) fn state(&self, engine: &UpstreamId) -> EngineState {
        self.lock()[engine].state.clone()
    }

    /// Applies an order to an engine, from any sender.
    pub(crate) fn apply_order(&self, name: &UpstreamId, order: Order) -> Result<EngineState> {
        let mut engines = self.lock();
        let engine = engines.get_mut(name).unwrap();
        if self.honours_fencing && order.fencing < engine.state.fencing {
            return Err(Error::Refused {
                upstream: name.clone(),
                detail: "old fencing number".to_owned(),
            });
        }
        self.orders
            .lock()
            .unwrap()
            .push((Instant::now(), order.clone()));
        engine.state.fencing = engine.state.fencing.max(order.fencing);
        if (&engine.state.model, engine.state.version) != (&order.model, order.version) {
            engine.state.model = order.model;
            engine.state.version = order.version;
            engine.state.loading = true;
            engine.loading_until = Some(Instant::now() + LOAD_TIME);
        }
        let state = engine.state.clone();
        let loads = engines
            .values()
            .filter(|engine| engine.state.loading)
            .count();
        let mut max_loads = self.max_concurrent_loads.lock().unwrap();
        *max_loads = loads.max(*max_loads);
        Ok(state)
    }
}

struct Client {
    vm: VmId,
    engines: Arc<Engines>,
}

#[async_trait]
impl OrderClient for Client {
    async fn order(&self, engine: &UpstreamId, order: Order) -> Result<EngineState> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        self.engines.wait_while_paused(&self.vm).await;
        let answer = self.engines.apply_order(engine, order);
        self.engines.wait_while_paused(&self.vm).await;
        answer
    }

    async fn state(&self, engine: &UpstreamId) -> Result<EngineState> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        self.engines.wait_while_paused(&self.vm).await;
        Ok(self.engines.state(engine))
    }
}

/// The configuration that one node holds.
pub(crate) struct HeldPlan {
    plan: Mutex<Option<OrderPlan>>,
}

impl PlanSource for HeldPlan {
    fn plan(&self) -> Option<OrderPlan> {
        self.plan.lock().unwrap().clone()
    }
}

/// One node that sends orders.
pub(crate) struct OrderingNode {
    pub(crate) vm: VmId,
    pub(crate) reconciler: Arc<OrderReconciler>,
    held_plan: Arc<HeldPlan>,
    task: JoinHandle<()>,
}

impl Drop for OrderingNode {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OrderingNode {
    pub(crate) fn new(number: usize, engines: &Arc<Engines>, limits: OrderLimits) -> Self {
        let vm = VmId::new(&format!("entry-{number}")).unwrap();
        let held_plan = Arc::new(HeldPlan {
            plan: Mutex::default(),
        });
        let client = Arc::new(Client {
            vm: vm.clone(),
            engines: Arc::clone(engines),
        });
        let builder = OrderReconcilerBuilder::new(
            vm.clone(),
            Arc::clone(&held_plan) as Arc<dyn PlanSource>,
            client,
        );
        let reconciler = Arc::new(builder.with_limits(limits).build());
        let runner = Arc::clone(&reconciler);
        Self {
            vm,
            reconciler,
            held_plan,
            task: tokio::spawn(async move { runner.run().await }),
        }
    }

    /// Accepts a configuration, confirmed at this time, unless the current one is newer.
    pub(crate) fn accept(
        &self,
        generation: u64,
        service: &ServiceTarget,
        is_owned: impl Fn(&EngineTarget) -> bool,
    ) {
        let files = [(Generation::new(generation), Revision::new(generation))];
        let fencing = fencing_number(files);
        let mut targets = service.engine_targets();
        targets.retain(is_owned);
        let mut plan = self.held_plan.plan.lock().unwrap();
        if plan.as_ref().is_none_or(|plan| plan.fencing <= fencing) {
            *plan = Some(OrderPlan {
                fencing,
                confirmed_at: Instant::now(),
                targets,
            });
        }
    }
}

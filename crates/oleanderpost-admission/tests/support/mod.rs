//! A small fleet under paused time: real admission objects and engines, fakes between them.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use oleanderpost_admission::{
    AccountView, Admission, AdmissionRequest, Completion, Directory, EngineProbe, Error, NodeView,
    OwnerClient, Permit, PermitMessage, Refusal, Result, ServiceView, Settings, UpstreamState,
    UpstreamView,
};
use oleanderpost_standin::{Engine, EngineSettings, EventStream, StepModel, Submission};
use oleanderpost_types::{
    Attempt, Holding, LoadReport, Millis, Priority, RequestKey, ReservationRequest, ServiceName,
    StreamEvent, Tokens, UpstreamId, VmId,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use uuid::Uuid;

/// What a test fleet is made of.
#[derive(Clone)]
pub struct Plan {
    pub nodes: usize,
    pub engines: usize,
    pub memory: u64,
    pub step: StepModel,
    pub settings: Settings,
    pub accounts: Vec<AccountView>,
    pub plain: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: 4,
            memory: 400_000,
            step: StepModel::default(),
            settings: Settings::default(),
            accounts: (0..10)
                .map(|i| account(&format!("account-{i}"), 1))
                .collect(),
            plain: 3,
        }
    }
}

pub fn account(name: &str, share: u32) -> AccountView {
    AccountView {
        name: name.parse().unwrap(),
        share,
        requests_per_second: None,
        tokens_per_second: None,
    }
}

/// The world that all nodes share.
#[derive(Default)]
pub struct World {
    pub services: Mutex<Vec<ServiceView>>,
    pub upstreams: Mutex<BTreeMap<ServiceName, Vec<UpstreamView>>>,
    pub nodes: Mutex<Vec<NodeView>>,
    pub admissions: Mutex<BTreeMap<VmId, Admission>>,
    pub engines: Mutex<BTreeMap<UpstreamId, Arc<Engine>>>,
    /// Directed pairs of nodes that do not reach each other.
    pub cut: Mutex<BTreeSet<(VmId, VmId)>>,
    pub frozen: Mutex<BTreeSet<VmId>>,
    pub unprobed: Mutex<BTreeSet<UpstreamId>>,
    pub latency: Mutex<Duration>,
    pub messages: Mutex<u64>,
}

/// One node's view of the world, which is all three border traits.
struct View {
    vm: VmId,
    world: Arc<World>,
}

impl World {
    fn reaches(&self, from: &VmId, to: &VmId) -> bool {
        let cut = self
            .cut
            .lock()
            .unwrap()
            .contains(&(from.clone(), to.clone()));
        let frozen = self.frozen.lock().unwrap();
        let live = self.admissions.lock().unwrap().contains_key(to);
        live && !cut && !frozen.contains(to) && !frozen.contains(from)
    }

    pub fn engine(&self, id: &UpstreamId) -> Arc<Engine> {
        self.engines.lock().unwrap()[id].clone()
    }

    fn probed(&self, id: &UpstreamId, step: &'static str) -> Result<Arc<Engine>> {
        let engine = self.engines.lock().unwrap().get(id).cloned();
        let reached = !self.unprobed.lock().unwrap().contains(id);
        let alive = engine.filter(|engine| reached && !engine.faults().dead);
        alive.ok_or(Error::Engine {
            step,
            upstream: id.clone(),
            detail: "no answer".to_owned(),
        })
    }
}

impl Directory for View {
    fn services(&self) -> Vec<ServiceView> {
        self.world.services.lock().unwrap().clone()
    }

    fn upstreams(&self, service: &ServiceName) -> Vec<UpstreamView> {
        self.world.upstreams.lock().unwrap()[service].clone()
    }

    fn nodes(&self) -> Vec<NodeView> {
        let mut nodes = self.world.nodes.lock().unwrap().clone();
        for node in &mut nodes {
            node.reachable = node.vm == self.vm || self.world.reaches(&self.vm, &node.vm);
        }
        nodes
    }
}

#[async_trait]
impl OwnerClient for View {
    async fn ask(&self, vm: &VmId, msg: PermitMessage) -> Result<PermitMessage> {
        *self.world.messages.lock().unwrap() += 1;
        let latency = *self.world.latency.lock().unwrap();
        let lost = || Error::Peer {
            step: "ask",
            peer: vm.clone(),
            detail: "lost".to_owned(),
        };
        sleep(latency).await;
        if !self.world.reaches(&self.vm, vm) {
            sleep(Duration::from_millis(500)).await;
            return Err(lost());
        }
        let admission = self.world.admissions.lock().unwrap().get(vm).cloned();
        let answer = admission.ok_or_else(lost)?.handle(&self.vm, msg).await;
        sleep(latency).await;
        answer
            .filter(|_| self.world.reaches(vm, &self.vm))
            .ok_or_else(lost)
    }
}

#[async_trait]
impl EngineProbe for View {
    async fn load(&self, upstream: &UpstreamId) -> Result<LoadReport> {
        Ok(self.world.probed(upstream, "load")?.load())
    }

    async fn holdings(&self, upstream: &UpstreamId) -> Result<Vec<Holding>> {
        sleep(Duration::from_millis(1)).await;
        Ok(self.world.probed(upstream, "holdings")?.holdings())
    }

    async fn cancel(&self, upstream: &UpstreamId, key: RequestKey, attempt: Attempt) -> Result<()> {
        self.world
            .probed(upstream, "cancel")?
            .cancel(key, Some(attempt));
        Ok(())
    }

    async fn reserve(&self, upstream: &UpstreamId, req: &ReservationRequest) -> Result<()> {
        let engine = self.world.probed(upstream, "reserve")?;
        engine.reserve(req).map_err(|e| Error::Engine {
            step: "reserve",
            upstream: upstream.clone(),
            detail: e.to_string(),
        })
    }

    async fn release(&self, upstream: &UpstreamId, key: RequestKey) -> Result<()> {
        self.world.probed(upstream, "release")?.release(key);
        Ok(())
    }
}

/// A fleet and the tasks of its nodes.
pub struct TestFleet {
    pub world: Arc<World>,
    pub plan: Plan,
    pub tasks: BTreeMap<VmId, JoinHandle<()>>,
}

pub fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().unwrap()
}

pub fn engine_id(i: usize) -> UpstreamId {
    format!("engine-{i:02}").parse().unwrap()
}

pub fn key(i: u64) -> RequestKey {
    RequestKey::from_uuid(Uuid::from_u64_pair(
        0x0190_0000_0000_7000,
        0x8000_0000_0000_0000 | i,
    ))
}

pub fn drafting() -> ServiceName {
    "drafting".parse().unwrap()
}

pub fn booking() -> ServiceName {
    "booking".parse().unwrap()
}

impl TestFleet {
    pub fn new(plan: Plan) -> Self {
        let world = Arc::new(World::default());
        *world.latency.lock().unwrap() = Duration::from_millis(1);
        let classes = [4_000, 100_000, 1_000_000].map(Tokens::new).to_vec();
        let service = |name, engines, classes| ServiceView {
            name,
            engines,
            classes,
            time_limit: Millis::new(600_000),
            accounts: plan.accounts.clone(),
        };
        *world.services.lock().unwrap() = vec![
            service(drafting(), true, classes),
            service(booking(), false, Vec::new()),
        ];
        let upstream = |id: UpstreamId, i: usize, memory: u64| UpstreamView {
            id,
            data_centre: format!("dc-{}", i % 3).parse().unwrap(),
            memory: Tokens::new(memory),
            state: UpstreamState::Live,
        };
        let engines = (0..plan.engines)
            .map(|i| upstream(engine_id(i), i, plan.memory))
            .collect();
        let plain = |i: usize| upstream(format!("plain-{i}").parse().unwrap(), i, 0);
        let plains = (0..plan.plain).map(plain).collect();
        *world.upstreams.lock().unwrap() = [(drafting(), engines), (booking(), plains)].into();
        for i in 0..plan.engines {
            world
                .engines
                .lock()
                .unwrap()
                .insert(engine_id(i), Arc::new(engine(&plan, i)));
        }
        let mut fleet = Self {
            world,
            plan,
            tasks: BTreeMap::new(),
        };
        let node = |i| NodeView {
            vm: vm(i),
            data_centre: format!("dc-{}", i % 3).parse().unwrap(),
            reachable: true,
        };
        *fleet.world.nodes.lock().unwrap() = (0..fleet.plan.nodes).map(node).collect();
        (0..fleet.plan.nodes).for_each(|i| fleet.start(i));
        fleet
    }

    /// Starts a node, anew if it ran before.
    pub fn start(&mut self, i: usize) {
        let view = Arc::new(View {
            vm: vm(i),
            world: self.world.clone(),
        });
        let admission = Admission::builder()
            .with_directory(view.clone())
            .with_client(view.clone())
            .with_probe(view)
            .with_settings(self.plan.settings.clone())
            .with_seed(i as u64)
            .build(vm(i), format!("dc-{}", i % 3).parse().unwrap())
            .unwrap();
        self.world
            .admissions
            .lock()
            .unwrap()
            .insert(vm(i), admission.clone());
        let task = tokio::spawn(async move { admission.run().await });
        self.tasks.insert(vm(i), task);
    }

    /// Ends a node without any goodbye.
    pub fn kill(&mut self, i: usize) {
        self.world.admissions.lock().unwrap().remove(&vm(i));
        if let Some(task) = self.tasks.remove(&vm(i)) {
            task.abort();
        }
    }

    pub fn node(&self, i: usize) -> Option<Admission> {
        self.world.admissions.lock().unwrap().get(&vm(i)).cloned()
    }

    pub fn request(
        &self,
        i: u64,
        prompt: u64,
        max_tokens: u64,
        limit: Duration,
    ) -> AdmissionRequest {
        AdmissionRequest {
            service: drafting(),
            account: format!("account-{}", i % 10).parse().unwrap(),
            key: key(i),
            attempt: Attempt::default(),
            prompt: Tokens::new(prompt),
            max_tokens: Tokens::new(max_tokens),
            deadline: Instant::now() + limit,
            priority: Priority::default(),
            prefix: Vec::new(),
            excluded: Vec::new(),
        }
    }

    /// Stops a node's clock: its tasks make no progress and nobody reaches it.
    pub fn pause(&mut self, i: usize) {
        self.world.frozen.lock().unwrap().insert(vm(i));
        if let Some(task) = self.tasks.remove(&vm(i)) {
            task.abort();
        }
    }

    /// Lets a paused node go on where it was.
    pub fn resume(&mut self, i: usize) {
        let Some(admission) = self.node(i) else {
            return;
        };
        if self.world.frozen.lock().unwrap().remove(&vm(i)) {
            let task = tokio::spawn(async move { admission.run().await });
            self.tasks.insert(vm(i), task);
        }
    }

    /// Starts a request through a node; its task is the caller's connection.
    pub fn send(&self, node: usize, req: AdmissionRequest) -> JoinHandle<Served> {
        let admission = self.node(node).expect("the node lives");
        tokio::spawn(serve(self.world.clone(), admission, vm(node), req))
    }

    /// Longest time that a stream waited inside an engine for memory.
    pub fn longest_wait(&self) -> u64 {
        let engines = self.world.engines.lock().unwrap();
        let runs = engines.values().flat_map(|engine| engine.evidence().runs);
        let waits = runs.map(|run| {
            run.started
                .map_or(0, |started| started.get() - run.arrived.get())
        });
        waits.max().unwrap_or(0)
    }

    /// Memory held on all engines.
    pub fn held(&self) -> u64 {
        let engines = self.world.engines.lock().unwrap();
        engines
            .values()
            .map(|engine| engine.evidence().held.get())
            .sum()
    }
}

fn engine(plan: &Plan, i: usize) -> Engine {
    Engine::new(EngineSettings {
        id: engine_id(i),
        memory: Tokens::new(plan.memory),
        step: plan.step.clone(),
        retain_ms: Millis::new(1_000),
        ..EngineSettings::default()
    })
}

/// How a request went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Served {
    Whole {
        first_token: Duration,
        total: Duration,
    },
    Refused {
        refusal: Refusal,
        after: Duration,
    },
    Failed {
        after: Duration,
    },
}

/// Sends a request through a node, as the daemon does, and reads its answer.
pub async fn serve(
    world: Arc<World>,
    node: Admission,
    holder: VmId,
    req: AdmissionRequest,
) -> Served {
    let start = Instant::now();
    let (key, attempt, deadline) = (req.key, req.attempt, req.deadline);
    let (prompt, max_tokens) = (req.prompt, req.max_tokens.get());
    let permit = match node.admit(req).await {
        Ok(permit) => permit,
        Err(refusal) => {
            let after = start.elapsed();
            return Served::Refused { refusal, after };
        }
    };
    if !permit.is_usable() {
        permit.close(Completion::NotSent);
        return Served::Failed {
            after: start.elapsed(),
        };
    }
    let mut submission = Submission::new(key, prompt, max_tokens)
        .with_attempt(attempt)
        .with_holder(holder)
        .with_priority(permit.priority())
        .with_group_size(permit.upstreams().len() as u64);
    if let Some(reservation) = permit.reservation() {
        submission = submission.with_reservation(reservation);
    }
    match world.engine(permit.upstream()).submit(submission) {
        Ok(events) => read(permit, events, start, deadline).await,
        Err(_) => {
            permit.close(Completion::Declined);
            Served::Failed {
                after: start.elapsed(),
            }
        }
    }
}

async fn read(
    permit: Permit,
    mut events: EventStream,
    start: Instant,
    deadline: Instant,
) -> Served {
    let mut first_token = None;
    loop {
        let event = tokio::time::timeout_at(deadline, events.next()).await;
        match event {
            Ok(Some(StreamEvent::Token { .. })) => {
                if first_token.is_none() {
                    permit.first_token();
                    first_token = Some(start.elapsed());
                }
            }
            Ok(Some(StreamEvent::End { tokens, .. })) => {
                permit.close(Completion::Finished {
                    tokens: Tokens::new(tokens),
                });
                let total = start.elapsed();
                let first_token = first_token.unwrap_or(total);
                return Served::Whole { first_token, total };
            }
            Ok(_) => {
                permit.close(Completion::Failed);
                return Served::Failed {
                    after: start.elapsed(),
                };
            }
            Err(_) => {
                permit.close(Completion::Cancelled);
                return Served::Failed {
                    after: start.elapsed(),
                };
            }
        }
    }
}

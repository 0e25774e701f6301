//! A small fleet under paused time: real admission instances and stand-in engines, connected by fakes.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use oleanderpost_admission::{
    AccountView, Admission, AdmissionRequest, Completion, Directory, EngineProbe, Error, NodeView,
    PeerClient, Permit, PermitMessage, Refusal, Result, ServiceView, Settings, UpstreamState,
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

/// Configuration of a test fleet.
#[derive(Clone)]
pub struct FleetConfig {
    pub nodes: usize,
    pub engines: usize,
    pub memory: u64,
    pub step: StepModel,
    pub settings: Settings,
    pub accounts: Vec<AccountView>,
    pub plain_upstreams: usize,
}

impl Default for FleetConfig {
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
            plain_upstreams: 3,
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

/// Simulated environment shared by all nodes.
#[derive(Default)]
pub struct Environment {
    pub services: Mutex<Vec<ServiceView>>,
    pub upstreams: Mutex<BTreeMap<ServiceName, Vec<UpstreamView>>>,
    pub nodes: Mutex<Vec<NodeView>>,
    pub admissions: Mutex<BTreeMap<VmId, Admission>>,
    pub engines: Mutex<BTreeMap<UpstreamId, Arc<Engine>>>,
    /// Pairs of nodes where the first cannot reach the second.
    pub blocked_links: Mutex<BTreeSet<(VmId, VmId)>>,
    pub paused_nodes: Mutex<BTreeSet<VmId>>,
    pub unreachable_engines: Mutex<BTreeSet<UpstreamId>>,
    pub latency: Mutex<Duration>,
    pub messages: Mutex<u64>,
}

/// One node's connection to the environment; implements the three traits that admission needs.
struct NodeConnections {
    vm: VmId,
    environment: Arc<Environment>,
}

impl Environment {
    fn reaches(&self, from: &VmId, to: &VmId) -> bool {
        let blocked = self
            .blocked_links
            .lock()
            .unwrap()
            .contains(&(from.clone(), to.clone()));
        let paused = self.paused_nodes.lock().unwrap();
        let live = self.admissions.lock().unwrap().contains_key(to);
        live && !blocked && !paused.contains(to) && !paused.contains(from)
    }

    pub fn engine(&self, id: &UpstreamId) -> Arc<Engine> {
        self.engines.lock().unwrap()[id].clone()
    }

    fn reachable_engine(&self, id: &UpstreamId, step: &'static str) -> Result<Arc<Engine>> {
        let engine = self.engines.lock().unwrap().get(id).cloned();
        let reachable = !self.unreachable_engines.lock().unwrap().contains(id);
        let engine = engine.filter(|engine| reachable && !engine.faults().dead);
        engine.ok_or(Error::Engine {
            step,
            upstream: id.clone(),
            detail: "no answer".to_owned(),
        })
    }
}

impl Directory for NodeConnections {
    fn services(&self) -> Vec<ServiceView> {
        self.environment.services.lock().unwrap().clone()
    }

    fn upstreams(&self, service: &ServiceName) -> Vec<UpstreamView> {
        self.environment.upstreams.lock().unwrap()[service].clone()
    }

    fn nodes(&self) -> Vec<NodeView> {
        let mut nodes = self.environment.nodes.lock().unwrap().clone();
        for node in &mut nodes {
            node.reachable = node.vm == self.vm || self.environment.reaches(&self.vm, &node.vm);
        }
        nodes
    }
}

#[async_trait]
impl PeerClient for NodeConnections {
    async fn request(&self, vm: &VmId, msg: PermitMessage) -> Result<PermitMessage> {
        *self.environment.messages.lock().unwrap() += 1;
        let latency = *self.environment.latency.lock().unwrap();
        let lost_error = || Error::Peer {
            step: "request",
            peer: vm.clone(),
            detail: "lost".to_owned(),
        };
        sleep(latency).await;
        if !self.environment.reaches(&self.vm, vm) {
            sleep(Duration::from_millis(500)).await;
            return Err(lost_error());
        }
        let admission = self.environment.admissions.lock().unwrap().get(vm).cloned();
        let answer = admission
            .ok_or_else(lost_error)?
            .handle(&self.vm, msg)
            .await;
        sleep(latency).await;
        answer
            .filter(|_| self.environment.reaches(vm, &self.vm))
            .ok_or_else(lost_error)
    }
}

#[async_trait]
impl EngineProbe for NodeConnections {
    async fn load(&self, upstream: &UpstreamId) -> Result<LoadReport> {
        Ok(self.environment.reachable_engine(upstream, "load")?.load())
    }

    async fn holdings(&self, upstream: &UpstreamId) -> Result<Vec<Holding>> {
        sleep(Duration::from_millis(1)).await;
        Ok(self
            .environment
            .reachable_engine(upstream, "holdings")?
            .holdings())
    }

    async fn cancel(&self, upstream: &UpstreamId, key: RequestKey, attempt: Attempt) -> Result<()> {
        self.environment
            .reachable_engine(upstream, "cancel")?
            .cancel(key, Some(attempt));
        Ok(())
    }

    async fn reserve(&self, upstream: &UpstreamId, req: &ReservationRequest) -> Result<()> {
        let engine = self.environment.reachable_engine(upstream, "reserve")?;
        engine.reserve(req).map_err(|e| Error::Engine {
            step: "reserve",
            upstream: upstream.clone(),
            detail: e.to_string(),
        })
    }

    async fn release(&self, upstream: &UpstreamId, key: RequestKey) -> Result<()> {
        self.environment
            .reachable_engine(upstream, "release")?
            .release(key);
        Ok(())
    }
}

/// A fleet and the background tasks of its nodes.
pub struct TestFleet {
    pub environment: Arc<Environment>,
    pub config: FleetConfig,
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

pub fn engine_service() -> ServiceName {
    "drafting".parse().unwrap()
}

pub fn plain_service() -> ServiceName {
    "booking".parse().unwrap()
}

impl TestFleet {
    pub fn new(config: FleetConfig) -> Self {
        let environment = Arc::new(Environment::default());
        *environment.latency.lock().unwrap() = Duration::from_millis(1);
        let classes = [4_000, 100_000, 1_000_000].map(Tokens::new).to_vec();
        let service = |name, has_engines, classes| ServiceView {
            name,
            has_engines,
            classes,
            time_limit: Millis::new(600_000),
            accounts: config.accounts.clone(),
        };
        *environment.services.lock().unwrap() = vec![
            service(engine_service(), true, classes),
            service(plain_service(), false, Vec::new()),
        ];
        let upstream = |id: UpstreamId, i: usize, memory: u64| UpstreamView {
            id,
            data_centre: format!("dc-{}", i % 3).parse().unwrap(),
            memory: Tokens::new(memory),
            state: UpstreamState::Live,
        };
        let engines = (0..config.engines)
            .map(|i| upstream(engine_id(i), i, config.memory))
            .collect();
        let plain = |i: usize| upstream(format!("plain-{i}").parse().unwrap(), i, 0);
        let plain_upstreams = (0..config.plain_upstreams).map(plain).collect();
        *environment.upstreams.lock().unwrap() = [
            (engine_service(), engines),
            (plain_service(), plain_upstreams),
        ]
        .into();
        for i in 0..config.engines {
            environment
                .engines
                .lock()
                .unwrap()
                .insert(engine_id(i), Arc::new(new_engine(&config, i)));
        }
        let mut fleet = Self {
            environment,
            config,
            tasks: BTreeMap::new(),
        };
        let node = |i| NodeView {
            vm: vm(i),
            data_centre: format!("dc-{}", i % 3).parse().unwrap(),
            reachable: true,
        };
        *fleet.environment.nodes.lock().unwrap() = (0..fleet.config.nodes).map(node).collect();
        (0..fleet.config.nodes).for_each(|i| fleet.start(i));
        fleet
    }

    /// Starts a node, with empty state if it ran before.
    pub fn start(&mut self, i: usize) {
        let connections = Arc::new(NodeConnections {
            vm: vm(i),
            environment: self.environment.clone(),
        });
        let admission = Admission::builder()
            .with_directory(connections.clone())
            .with_client(connections.clone())
            .with_probe(connections)
            .with_settings(self.config.settings.clone())
            .with_seed(i as u64)
            .build(vm(i), format!("dc-{}", i % 3).parse().unwrap())
            .unwrap();
        self.environment
            .admissions
            .lock()
            .unwrap()
            .insert(vm(i), admission.clone());
        let task = tokio::spawn(async move { admission.run().await });
        self.tasks.insert(vm(i), task);
    }

    /// Terminates a node abruptly.
    pub fn kill(&mut self, i: usize) {
        self.environment.admissions.lock().unwrap().remove(&vm(i));
        if let Some(task) = self.tasks.remove(&vm(i)) {
            task.abort();
        }
    }

    pub fn node(&self, i: usize) -> Option<Admission> {
        self.environment
            .admissions
            .lock()
            .unwrap()
            .get(&vm(i))
            .cloned()
    }

    pub fn request(
        &self,
        i: u64,
        prompt: u64,
        max_tokens: u64,
        limit: Duration,
    ) -> AdmissionRequest {
        AdmissionRequest {
            service: engine_service(),
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

    /// Pauses a node: its tasks make no progress and no other node can reach it.
    pub fn pause(&mut self, i: usize) {
        self.environment.paused_nodes.lock().unwrap().insert(vm(i));
        if let Some(task) = self.tasks.remove(&vm(i)) {
            task.abort();
        }
    }

    /// Resumes a paused node with its state.
    pub fn resume(&mut self, i: usize) {
        let Some(admission) = self.node(i) else {
            return;
        };
        if self.environment.paused_nodes.lock().unwrap().remove(&vm(i)) {
            let task = tokio::spawn(async move { admission.run().await });
            self.tasks.insert(vm(i), task);
        }
    }

    /// Sends a request through a node; aborting the returned task disconnects the caller.
    pub fn send(&self, node: usize, req: AdmissionRequest) -> JoinHandle<Outcome> {
        let admission = self.node(node).expect("node is running");
        tokio::spawn(run_request(
            self.environment.clone(),
            admission,
            vm(node),
            req,
        ))
    }

    /// Longest time in milliseconds that a stream waited inside an engine before it started.
    pub fn longest_wait_ms(&self) -> u64 {
        let engines = self.environment.engines.lock().unwrap();
        let runs = engines.values().flat_map(|engine| engine.evidence().runs);
        let waits = runs.map(|run| {
            run.started
                .map_or(0, |started| started.get() - run.arrived.get())
        });
        waits.max().unwrap_or(0)
    }

    /// Total memory held on all engines.
    pub fn held_memory(&self) -> u64 {
        let engines = self.environment.engines.lock().unwrap();
        engines
            .values()
            .map(|engine| engine.evidence().held.get())
            .sum()
    }
}

fn new_engine(config: &FleetConfig, i: usize) -> Engine {
    Engine::new(EngineSettings {
        id: engine_id(i),
        memory: Tokens::new(config.memory),
        step: config.step.clone(),
        retain_ms: Millis::new(1_000),
        ..EngineSettings::default()
    })
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Completed {
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

/// Sends a request through a node in the same way as the daemon and reads the answer.
pub async fn run_request(
    environment: Arc<Environment>,
    node: Admission,
    holder: VmId,
    req: AdmissionRequest,
) -> Outcome {
    let start = Instant::now();
    let (key, attempt, deadline) = (req.key, req.attempt, req.deadline);
    let (prompt, max_tokens) = (req.prompt, req.max_tokens.get());
    let permit = match node.admit(req).await {
        Ok(permit) => permit,
        Err(refusal) => {
            let after = start.elapsed();
            return Outcome::Refused { refusal, after };
        }
    };
    if !permit.is_usable() {
        permit.close(Completion::NotSent);
        return Outcome::Failed {
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
    match environment.engine(permit.upstream()).submit(submission) {
        Ok(events) => read_answer(permit, events, start, deadline).await,
        Err(_) => {
            permit.close(Completion::Declined);
            Outcome::Failed {
                after: start.elapsed(),
            }
        }
    }
}

async fn read_answer(
    permit: Permit,
    mut events: EventStream,
    start: Instant,
    deadline: Instant,
) -> Outcome {
    let mut first_token = None;
    loop {
        let event = tokio::time::timeout_at(deadline, events.next()).await;
        match event {
            Ok(Some(StreamEvent::Token { .. })) => {
                if first_token.is_none() {
                    permit.record_first_token();
                    first_token = Some(start.elapsed());
                }
            }
            Ok(Some(StreamEvent::End { tokens, .. })) => {
                permit.close(Completion::Finished {
                    tokens: Tokens::new(tokens),
                });
                let total = start.elapsed();
                let first_token = first_token.unwrap_or(total);
                return Outcome::Completed { first_token, total };
            }
            Ok(_) => {
                permit.close(Completion::Failed);
                return Outcome::Failed {
                    after: start.elapsed(),
                };
            }
            Err(_) => {
                permit.close(Completion::Cancelled);
                return Outcome::Failed {
                    after: start.elapsed(),
                };
            }
        }
    }
}

//! [`Links`].

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use oleanderpost_admission::{
    AccountView, Directory, EngineProbe, Error, NodeView, PeerClient, PermitMessage, Result,
    ServiceView, UpstreamState, UpstreamView,
};
use oleanderpost_claims::{
    ClaimMessage, Error as ClaimError, Result as ClaimResult, WitnessClient,
};
use oleanderpost_standin::Engine;
use oleanderpost_types::{
    Attempt, Holding, LoadReport, Millis, RequestKey, ReservationRequest, ServiceName, Tokens,
    UpstreamId, VmId,
};
use tokio::time::{sleep, timeout};

use crate::world::{ENGINES, MEMORY, NODES, Node, World, data_centre, engine_id, vm};

/// One-way time between two nodes.
const LATENCY: Duration = Duration::from_millis(1);
/// Time within which a peer must answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// One node's way to the others and to the engines.
pub(crate) struct Links {
    from: VmId,
    world: Arc<World>,
}

impl Links {
    pub(crate) fn new(number: usize, world: Arc<World>) -> Self {
        Self {
            from: vm(number),
            world,
        }
    }

    fn is_open(&self, from: &VmId, to: &VmId) -> bool {
        let pair = (from.clone(), to.clone());
        !self.world.cut.lock().unwrap().contains(&pair)
    }

    /// Carries a question to a node; the node that takes it, once it is awake.
    async fn there(&self, to: &VmId) -> Option<Arc<Node>> {
        self.world.awake(&self.from).await;
        sleep(LATENCY).await;
        if !self.is_open(&self.from, to) {
            return None;
        }
        self.world.awake(to).await;
        self.world.node(to)
    }

    /// Carries an answer back.
    async fn back<M>(&self, to: &VmId, answer: Option<M>) -> Option<M> {
        sleep(LATENCY).await;
        self.world.awake(&self.from).await;
        answer.filter(|_| self.is_open(to, &self.from))
    }

    fn engine(&self, id: &UpstreamId, step: &'static str) -> Result<&Engine> {
        let engine = self.world.engine(id);
        let reached = !self.world.unprobed.lock().unwrap().contains(id);
        let alive = reached && !engine.faults().dead;
        alive.then_some(engine).ok_or(Error::Engine {
            step,
            upstream: id.clone(),
            detail: "no answer".to_owned(),
        })
    }
}

impl Directory for Links {
    fn services(&self) -> Vec<ServiceView> {
        let account = |number: usize| AccountView {
            name: format!("account-{number}").parse().unwrap(),
            share: 1,
            requests_per_second: None,
            tokens_per_second: None,
        };
        vec![ServiceView {
            name: "drafting".parse().unwrap(),
            has_engines: true,
            classes: [2_000, 10_000, 100_000].map(Tokens::new).to_vec(),
            time_limit: Millis::new(600_000),
            accounts: (0..4).map(account).collect(),
        }]
    }

    fn upstreams(&self, _: &ServiceName) -> Vec<UpstreamView> {
        let upstream = |number| UpstreamView {
            id: engine_id(number),
            data_centre: data_centre(number),
            memory: Tokens::new(MEMORY),
            state: UpstreamState::Live,
        };
        (0..ENGINES).map(upstream).collect()
    }

    fn nodes(&self) -> Vec<NodeView> {
        let is_up = |to: &VmId| {
            *to == self.from || (self.is_open(&self.from, to) && self.world.node(to).is_some())
        };
        let node = |number| NodeView {
            vm: vm(number),
            data_centre: data_centre(number),
            reachable: is_up(&vm(number)),
        };
        (0..NODES).map(node).collect()
    }
}

#[async_trait]
impl PeerClient for Links {
    async fn ask(&self, to: &VmId, msg: PermitMessage) -> Result<PermitMessage> {
        let exchange = async {
            let node = self.there(to).await?;
            let answer = node.admission.handle(&self.from, msg).await;
            self.back(to, answer).await
        };
        let answer = timeout(ASK_TIMEOUT, exchange).await.ok().flatten();
        answer.ok_or_else(|| Error::Peer {
            step: "ask",
            peer: to.clone(),
            detail: "lost".to_owned(),
        })
    }
}

#[async_trait]
impl WitnessClient for Links {
    async fn ask(&self, to: &VmId, msg: ClaimMessage) -> ClaimResult<ClaimMessage> {
        let exchange = async {
            let node = self.there(to).await?;
            let answer = node.claims.handle(&self.from, msg);
            self.back(to, answer).await
        };
        let answer = timeout(ASK_TIMEOUT, exchange).await.ok().flatten();
        answer.ok_or_else(|| ClaimError::Unreachable {
            peer: to.clone(),
            detail: "lost".to_owned(),
        })
    }
}

#[async_trait]
impl EngineProbe for Links {
    async fn load(&self, upstream: &UpstreamId) -> Result<LoadReport> {
        Ok(self.engine(upstream, "load")?.load())
    }

    async fn holdings(&self, upstream: &UpstreamId) -> Result<Vec<Holding>> {
        sleep(LATENCY).await;
        Ok(self.engine(upstream, "holdings")?.holdings())
    }

    async fn cancel(&self, upstream: &UpstreamId, key: RequestKey, attempt: Attempt) -> Result<()> {
        self.engine(upstream, "cancel")?.cancel(key, Some(attempt));
        Ok(())
    }

    async fn reserve(&self, upstream: &UpstreamId, req: &ReservationRequest) -> Result<()> {
        let engine = self.engine(upstream, "reserve")?;
        engine.reserve(req).map_err(|e| Error::Engine {
            step: "reserve",
            upstream: upstream.clone(),
            detail: e.to_string(),
        })
    }

    async fn release(&self, upstream: &UpstreamId, key: RequestKey) -> Result<()> {
        self.engine(upstream, "release")?.release(key);
        Ok(())
    }
}

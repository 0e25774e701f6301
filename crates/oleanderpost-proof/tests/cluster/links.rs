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

use crate::cluster::{Cluster, ENGINES, MEMORY, NODES, Node, data_centre, engine_id, vm};

/// One-way latency between two nodes.
const LATENCY: Duration = Duration::from_millis(1);
/// Time within which a peer must answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections of one node to the other nodes and to the engines.
pub(crate) struct Links {
    from: VmId,
    cluster: Arc<Cluster>,
}

impl Links {
    pub(crate) fn new(number: usize, cluster: Arc<Cluster>) -> Self {
        Self {
            from: vm(number),
            cluster,
        }
    }

    fn is_open(&self, from: &VmId, to: &VmId) -> bool {
        let pair = (from.clone(), to.clone());
        !self.cluster.cut.lock().unwrap().contains(&pair)
    }

    /// Delivers a request to a node; returns the node once it is not paused, or `None` if the request is
    /// lost.
    async fn deliver_request(&self, to: &VmId) -> Option<Arc<Node>> {
        self.cluster.wait_while_paused(&self.from).await;
        sleep(LATENCY).await;
        if !self.is_open(&self.from, to) {
            return None;
        }
        self.cluster.wait_while_paused(to).await;
        self.cluster.node(to)
    }

    /// Delivers an answer from the node `to`; returns `None` if it is lost.
    async fn deliver_answer<M>(&self, to: &VmId, answer: Option<M>) -> Option<M> {
        sleep(LATENCY).await;
        self.cluster.wait_while_paused(&self.from).await;
        answer.filter(|_| self.is_open(to, &self.from))
    }

    fn engine(&self, id: &UpstreamId, step: &'static str) -> Result<&Engine> {
        let engine = self.cluster.engine(id);
        let is_reachable = !self
            .cluster
            .unreachable_engines
            .lock()
            .unwrap()
            .contains(id);
        let answers = is_reachable && !engine.faults().dead;
        answers.then_some(engine).ok_or(Error::Engine {
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
            *to == self.from || (self.is_open(&self.from, to) && self.cluster.node(to).is_some())
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
    async fn request(&self, to: &VmId, msg: PermitMessage) -> Result<PermitMessage> {
        let exchange = async {
            let node = self.deliver_request(to).await?;
            let answer = node.admission.handle(&self.from, msg).await;
            self.deliver_answer(to, answer).await
        };
        let answer = timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten();
        answer.ok_or_else(|| Error::Peer {
            step: "request",
            peer: to.clone(),
            detail: "lost".to_owned(),
        })
    }
}

#[async_trait]
impl WitnessClient for Links {
    async fn request(&self, to: &VmId, msg: ClaimMessage) -> ClaimResult<ClaimMessage> {
        let exchange = async {
            let node = self.deliver_request(to).await?;
            let answer = node.claims.handle(&self.from, msg);
            self.deliver_answer(to, answer).await
        };
        let answer = timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten();
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

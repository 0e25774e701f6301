//! [`Network`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use oleanderpost_config::{ConfigMessage, ConfigPeers, Convergence, Error, PeerView, Result};
use oleanderpost_types::{DataCentre, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

/// Time for which a request stays unanswered if the request or its answer is lost.
const LOST_MESSAGE_DELAY: Duration = Duration::from_secs(3600);

/// In-memory network between nodes. Messages are encoded and decoded as on the wire.
#[derive(Debug)]
pub struct Network {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    nodes: BTreeMap<VmId, Node>,
    /// Partition group of each node; only nodes of the same group are connected. The default group is 0.
    groups: BTreeMap<VmId, u8>,
    silent: BTreeSet<VmId>,
    /// Whether nodes know which peers they can reach; otherwise they assume that all are reachable.
    reachability_known: bool,
    /// Fraction of messages that are lost.
    loss: f64,
    /// Fraction of requests that are delivered twice.
    duplication: f64,
    /// Shortest and longest one-way delay, in milliseconds.
    delay: (u64, u64),
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct Node {
    data_centre: DataCentre,
    convergence: Option<Convergence>,
}

/// How one message is delivered.
struct Delivery {
    recipient: Option<Convergence>,
    is_lost: bool,
    is_duplicated: bool,
    delay: Duration,
}

impl Network {
    /// Creates a network without nodes.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                nodes: BTreeMap::new(),
                groups: BTreeMap::new(),
                silent: BTreeSet::new(),
                reachability_known: true,
                loss: 0.0,
                duplication: 0.0,
                delay: (1, 2),
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the node on a VM.
    pub fn add(&self, vm: &VmId, data_centre: &DataCentre) {
        let node = Node {
            data_centre: data_centre.clone(),
            convergence: None,
        };
        self.state().nodes.insert(vm.clone(), node);
    }

    /// Sets or removes the process that runs on a VM.
    pub fn set_process(&self, vm: &VmId, convergence: Option<Convergence>) {
        if let Some(node) = self.state().nodes.get_mut(vm) {
            node.convergence = convergence;
        }
    }

    /// Partitions the network: only nodes of the same group reach each other.
    pub fn partition(&self, groups: BTreeMap<VmId, u8>) {
        self.state().groups = groups;
    }

    /// Sets whether a node is silent: all messages to and from it are lost, but its process keeps running.
    pub fn set_silent(&self, vm: &VmId, silent: bool) {
        let mut state = self.state();
        if silent {
            state.silent.insert(vm.clone());
        } else {
            state.silent.remove(vm);
        }
    }

    /// Sets whether nodes know which peers they can reach, or assume that all are reachable.
    pub fn set_reachability_known(&self, known: bool) {
        self.state().reachability_known = known;
    }

    /// Sets the fraction of lost messages, the fraction of duplicated requests, and the bounds of the one-way
    /// delay in milliseconds.
    pub fn set_quality(&self, loss: f64, duplication: f64, delay: (u64, u64)) {
        let mut state = self.state();
        state.loss = loss;
        state.duplication = duplication;
        state.delay = delay;
    }

    /// Removes all faults. Whether reachability is known stays as it is.
    pub fn clear_faults(&self) {
        let mut state = self.state();
        state.groups.clear();
        state.silent.clear();
        drop(state);
        self.set_quality(0.0, 0.0, (1, 2));
    }

    /// Returns the [`ConfigPeers`] through which the node on `vm` reaches the other nodes.
    #[must_use]
    pub fn peers(self: &Arc<Self>, vm: &VmId) -> Arc<dyn ConfigPeers> {
        Arc::new(NodePeers {
            network: self.clone(),
            vm: vm.clone(),
        })
    }

    /// Returns the nodes that the node on `vm` can currently reach.
    #[must_use]
    pub fn reachable_from(&self, vm: &VmId) -> BTreeSet<VmId> {
        let state = self.state();
        let others = state.nodes.iter().filter(|(other, node)| {
            *other != vm && node.convergence.is_some() && state.is_connected(vm, other)
        });
        others.map(|(other, _)| other.clone()).collect()
    }

    /// Draws delay, loss and duplication of one message.
    fn plan_delivery(&self, from: &VmId, to: &VmId) -> Delivery {
        let mut state = self.state();
        let connected = state.is_connected(from, to);
        let (loss, duplication, (shortest, longest)) = (state.loss, state.duplication, state.delay);
        let is_lost = state.rng.random_bool(loss) || !connected;
        let is_duplicated = state.rng.random_bool(duplication);
        let delay = Duration::from_millis(state.rng.random_range(shortest..=longest));
        let recipient = state
            .nodes
            .get(to)
            .and_then(|node| node.convergence.clone());
        Delivery {
            recipient,
            is_lost,
            is_duplicated,
            delay,
        }
    }
}

impl State {
    fn is_connected(&self, a: &VmId, b: &VmId) -> bool {
        let group = |vm: &VmId| self.groups.get(vm).copied().unwrap_or_default();
        group(a) == group(b) && !self.silent.contains(a) && !self.silent.contains(b)
    }
}

struct NodePeers {
    network: Arc<Network>,
    vm: VmId,
}

impl NodePeers {
    fn error(&self, vm: &VmId, reason: &str) -> Error {
        Error::Peer {
            vm: vm.clone(),
            step: "ask",
            reason: reason.to_owned(),
        }
    }
}

#[async_trait]
impl ConfigPeers for NodePeers {
    fn peers(&self) -> Vec<PeerView> {
        let state = self.network.state();
        let others = state.nodes.iter().filter(|(vm, _)| **vm != self.vm);
        let views = others.map(|(vm, node)| {
            let reached = node.convergence.is_some() && state.is_connected(&self.vm, vm);
            PeerView {
                vm: vm.clone(),
                data_centre: node.data_centre.clone(),
                reachable: reached || !state.reachability_known,
            }
        });
        views.collect()
    }

    async fn request(&self, vm: &VmId, msg: ConfigMessage) -> Result<ConfigMessage> {
        let request = self.network.plan_delivery(&self.vm, vm);
        sleep(request.delay).await;
        if request.is_lost {
            sleep(LOST_MESSAGE_DELAY).await;
        }
        let Some(recipient) = request.recipient else {
            return Err(self.error(vm, "connection refused"));
        };
        let bytes = encode(&msg);
        if request.is_duplicated {
            let _ = recipient.handle(&self.vm, decode(&bytes));
        }
        let answer = recipient.handle(&self.vm, decode(&bytes));
        let answer = answer.ok_or_else(|| self.error(vm, "no answer to this message"))?;
        let response = self.network.plan_delivery(vm, &self.vm);
        sleep(response.delay).await;
        if response.is_lost {
            sleep(LOST_MESSAGE_DELAY).await;
        }
        Ok(decode(&encode(&answer)))
    }
}

fn encode(msg: &ConfigMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(msg, &mut bytes).expect("messages encode as CBOR");
    bytes
}

fn decode(bytes: &[u8]) -> ConfigMessage {
    ciborium::from_reader(bytes).expect("messages encoded by this process decode")
}

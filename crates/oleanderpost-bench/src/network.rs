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

/// Time that a lost message leaves its sender waiting.
const LOST: Duration = Duration::from_secs(3600);

/// Links in memory between nodes. Messages are encoded and decoded as on the wire.
#[derive(Debug)]
pub struct Network {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    nodes: BTreeMap<VmId, Node>,
    /// Nodes of the same part reach each other.
    parts: BTreeMap<VmId, u8>,
    silent: BTreeSet<VmId>,
    /// Whether each node knows which peers it reaches.
    reachability_known: bool,
    /// Share of messages lost, and of messages delivered twice.
    loss: f64,
    doubling: f64,
    /// Shortest and longest time of one way, in milliseconds.
    delay: (u64, u64),
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct Node {
    data_centre: DataCentre,
    convergence: Option<Convergence>,
}

/// What becomes of one message.
struct Fate {
    to: Option<Convergence>,
    is_lost: bool,
    is_doubled: bool,
    delay: Duration,
}

impl Network {
    /// A network without nodes.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                nodes: BTreeMap::new(),
                parts: BTreeMap::new(),
                silent: BTreeSet::new(),
                reachability_known: true,
                loss: 0.0,
                doubling: 0.0,
                delay: (1, 2),
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a VM to the list of all nodes.
    pub fn add(&self, vm: &VmId, data_centre: &DataCentre) {
        let node = Node {
            data_centre: data_centre.clone(),
            convergence: None,
        };
        self.state().nodes.insert(vm.clone(), node);
    }

    /// Connects the process on a VM, or takes it away.
    pub fn connect(&self, vm: &VmId, convergence: Option<Convergence>) {
        if let Some(node) = self.state().nodes.get_mut(vm) {
            node.convergence = convergence;
        }
    }

    /// Cuts the network: only nodes of the same part reach each other.
    pub fn partition(&self, parts: BTreeMap<VmId, u8>) {
        self.state().parts = parts;
    }

    /// Lets a node neither send nor receive while it stays connected.
    pub fn set_silent(&self, vm: &VmId, silent: bool) {
        let mut state = self.state();
        if silent {
            state.silent.insert(vm.clone());
        } else {
            state.silent.remove(vm);
        }
    }

    /// Says whether nodes know which peers they reach, or take all for reachable.
    pub fn set_reachability_known(&self, known: bool) {
        self.state().reachability_known = known;
    }

    /// Shares of messages lost and doubled, and bounds of the time of one way in milliseconds.
    pub fn set_quality(&self, loss: f64, doubling: f64, delay: (u64, u64)) {
        let mut state = self.state();
        state.loss = loss;
        state.doubling = doubling;
        state.delay = delay;
    }

    /// Lets every message through again.
    pub fn heal(&self) {
        let mut state = self.state();
        state.parts.clear();
        state.silent.clear();
        drop(state);
        self.set_quality(0.0, 0.0, (1, 2));
    }

    /// Border of the node on `vm`.
    #[must_use]
    pub fn peers(self: &Arc<Self>, vm: &VmId) -> Arc<dyn ConfigPeers> {
        Arc::new(Links {
            network: self.clone(),
            vm: vm.clone(),
        })
    }

    /// Nodes that the one on `vm` reaches now.
    #[must_use]
    pub fn reached(&self, vm: &VmId) -> BTreeSet<VmId> {
        let state = self.state();
        let others = state.nodes.iter().filter(|(other, node)| {
            *other != vm && node.convergence.is_some() && state.is_connected(vm, other)
        });
        others.map(|(other, _)| other.clone()).collect()
    }

    fn fate(&self, from: &VmId, to: &VmId) -> Fate {
        let mut state = self.state();
        let connected = state.is_connected(from, to);
        let (loss, doubling, (least, most)) = (state.loss, state.doubling, state.delay);
        let is_lost = state.rng.random_bool(loss) || !connected;
        let is_doubled = state.rng.random_bool(doubling);
        let delay = Duration::from_millis(state.rng.random_range(least..=most));
        let to = state
            .nodes
            .get(to)
            .and_then(|node| node.convergence.clone());
        Fate {
            to,
            is_lost,
            is_doubled,
            delay,
        }
    }
}

impl State {
    fn is_connected(&self, a: &VmId, b: &VmId) -> bool {
        let part = |vm: &VmId| self.parts.get(vm).copied().unwrap_or_default();
        part(a) == part(b) && !self.silent.contains(a) && !self.silent.contains(b)
    }
}

struct Links {
    network: Arc<Network>,
    vm: VmId,
}

impl Links {
    fn error(&self, vm: &VmId, reason: &str) -> Error {
        Error::Peer {
            vm: vm.clone(),
            step: "ask",
            reason: reason.to_owned(),
        }
    }
}

#[async_trait]
impl ConfigPeers for Links {
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
        let there = self.network.fate(&self.vm, vm);
        sleep(there.delay).await;
        if there.is_lost {
            sleep(LOST).await;
        }
        let Some(to) = there.to else {
            return Err(self.error(vm, "connection refused"));
        };
        let bytes = encode(&msg);
        if there.is_doubled {
            let _ = to.handle(&self.vm, decode(&bytes));
        }
        let answer = to.handle(&self.vm, decode(&bytes));
        let answer = answer.ok_or_else(|| self.error(vm, "no answer to this message"))?;
        let back = self.network.fate(vm, &self.vm);
        sleep(back.delay).await;
        if back.is_lost {
            sleep(LOST).await;
        }
        Ok(decode(&encode(&answer)))
    }
}

fn encode(msg: &ConfigMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(msg, &mut bytes).expect("a message has a CBOR form");
    bytes
}

fn decode(bytes: &[u8]) -> ConfigMessage {
    ciborium::from_reader(bytes).expect("own messages can be read")
}

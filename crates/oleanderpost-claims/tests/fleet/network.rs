//! [`Network`] and [`Link`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use oleanderpost_claims::{ClaimMessage, Claims, Error, Result, WitnessClient};
use oleanderpost_types::VmId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval at which a paused process is checked for having been resumed.
const PAUSE_POLL_PERIOD: Duration = Duration::from_millis(200);

struct State {
    nodes: BTreeMap<VmId, Arc<Claims>>,
    cut: BTreeSet<(VmId, VmId)>,
    paused: BTreeSet<VmId>,
    delay: Duration,
    loss: f64,
    rng: ChaCha8Rng,
    asked: Vec<VmId>,
}

/// Simulated network: the process on each VM, the cut connections, and the delay and loss of messages.
pub(crate) struct Network {
    state: Mutex<State>,
}

impl Default for Network {
    fn default() -> Self {
        let state = State {
            nodes: BTreeMap::new(),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            delay: Duration::ZERO,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(1),
            asked: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl Network {
    pub(crate) fn attach(&self, vm: &VmId, claims: &Arc<Claims>) {
        let mut state = self.state.lock().unwrap();
        state.nodes.insert(vm.clone(), Arc::clone(claims));
        state.paused.remove(vm);
    }

    pub(crate) fn detach(&self, vm: &VmId) {
        self.state.lock().unwrap().nodes.remove(vm);
    }

    /// Drops all messages from `from` to `to`.
    pub(crate) fn cut(&self, from: &VmId, to: &VmId) {
        self.state
            .lock()
            .unwrap()
            .cut
            .insert((from.clone(), to.clone()));
    }

    pub(crate) fn heal(&self) {
        self.state.lock().unwrap().cut.clear();
    }

    /// Pauses or resumes a process.
    pub(crate) fn set_paused(&self, vm: &VmId, paused: bool) {
        let mut state = self.state.lock().unwrap();
        if paused {
            state.paused.insert(vm.clone());
        } else {
            state.paused.remove(vm);
        }
    }

    /// Sets the maximum delay of a message and the fraction of messages that are lost.
    pub(crate) fn set_delay_and_loss(&self, delay: Duration, loss: f64) {
        let mut state = self.state.lock().unwrap();
        state.delay = delay;
        state.loss = loss;
    }

    /// Records which nodes claimants ask.
    fn record_ask(&self, to: &VmId, msg: ClaimMessage) {
        if matches!(msg, ClaimMessage::Ask { .. }) {
            self.state.lock().unwrap().asked.push(to.clone());
        }
    }

    /// Returns and clears the list of nodes that claimants asked.
    pub(crate) fn take_asked(&self) -> Vec<VmId> {
        std::mem::take(&mut self.state.lock().unwrap().asked)
    }

    /// Waits until the process is not paused.
    pub(crate) async fn wait_while_paused(&self, vm: &VmId) {
        while self.state.lock().unwrap().paused.contains(vm) {
            tokio::time::sleep(PAUSE_POLL_PERIOD).await;
        }
    }

    /// Transmits one message; returns whether it arrives.
    async fn transmit(&self, from: &VmId, to: &VmId) -> bool {
        let (delay, lost) = {
            let state = &mut *self.state.lock().unwrap();
            let delay = state.delay.mul_f64(state.rng.random::<f64>());
            (delay, state.rng.random::<f64>() < state.loss)
        };
        tokio::time::sleep(delay).await;
        let pair = (from.clone(), to.clone());
        !lost && !self.state.lock().unwrap().cut.contains(&pair)
    }

    fn node(&self, vm: &VmId) -> Option<Arc<Claims>> {
        self.state.lock().unwrap().nodes.get(vm).cloned()
    }
}

/// The connections of one node to the others.
pub(crate) struct Link {
    pub(crate) from: VmId,
    pub(crate) network: Arc<Network>,
}

impl Link {
    async fn exchange(&self, vm: &VmId, msg: ClaimMessage) -> Option<ClaimMessage> {
        self.network.record_ask(vm, msg);
        self.network.wait_while_paused(&self.from).await;
        if !self.network.transmit(&self.from, vm).await {
            return None;
        }
        self.network.wait_while_paused(vm).await;
        let answer = self.network.node(vm)?.handle(&self.from, msg);
        if !self.network.transmit(vm, &self.from).await {
            return None;
        }
        self.network.wait_while_paused(&self.from).await;
        answer
    }
}

#[async_trait]
impl WitnessClient for Link {
    async fn request(&self, vm: &VmId, msg: ClaimMessage) -> Result<ClaimMessage> {
        self.exchange(vm, msg)
            .await
            .ok_or_else(|| Error::Unreachable {
                peer: vm.clone(),
                detail: "lost".to_owned(),
            })
    }
}

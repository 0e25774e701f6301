//! [`Fleet`].

use std::sync::Arc;

use oleanderpost_config::{Convergence, FORMAT, Tuning, Version};
use oleanderpost_types::{DataCentre, FileName, VmId};
use tokio::time::{Duration, Instant, sleep};

use crate::{FakePlatform, Network};

/// Nodes that share one platform and one network.
#[derive(Debug)]
pub struct Fleet {
    platform: Arc<FakePlatform>,
    network: Arc<Network>,
    nodes: Vec<FleetNode>,
    tuning: Tuning,
    seed: u64,
}

/// Builds a [`Fleet`].
#[derive(Clone, Copy, Debug)]
pub struct FleetBuilder {
    nodes: usize,
    data_centres: usize,
    tuning: Tuning,
    seed: u64,
}

#[derive(Debug)]
struct FleetNode {
    vm: VmId,
    data_centre: DataCentre,
    replica: usize,
    convergence: Option<Convergence>,
    start_count: u64,
    newest_format: u64,
}

impl FleetBuilder {
    /// Replaces the default intervals and bounds.
    #[must_use]
    pub const fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// Sets the seed of all random numbers.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the fleet. No node is started.
    #[must_use]
    pub fn build(self) -> Fleet {
        let network = Network::new(self.seed);
        let node = |i: usize| {
            let replica = i % self.data_centres;
            let vm: VmId = format!("vm-{i:03}").parse().expect("a valid name");
            let data_centre: DataCentre = format!("dc-{replica}").parse().expect("a valid name");
            network.add(&vm, &data_centre);
            FleetNode {
                vm,
                data_centre,
                replica,
                convergence: None,
                start_count: 0,
                newest_format: FORMAT,
            }
        };
        let nodes = (0..self.nodes).map(node).collect();
        Fleet {
            platform: FakePlatform::new(),
            network,
            nodes,
            tuning: self.tuning,
            seed: self.seed,
        }
    }
}

impl Fleet {
    /// Returns a builder for a fleet of `nodes` nodes, spread over `data_centres` data centres.
    #[must_use]
    pub fn builder(nodes: usize, data_centres: usize) -> FleetBuilder {
        FleetBuilder {
            nodes,
            data_centres,
            tuning: Tuning::default(),
            seed: 1,
        }
    }

    /// Returns the configuration service.
    #[must_use]
    pub const fn platform(&self) -> &Arc<FakePlatform> {
        &self.platform
    }

    /// Returns the network between the nodes.
    #[must_use]
    pub const fn network(&self) -> &Arc<Network> {
        &self.network
    }

    /// Returns the number of nodes, started or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the fleet has no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the VM of a node.
    #[must_use]
    pub fn vm(&self, i: usize) -> &VmId {
        &self.nodes[i].vm
    }

    /// Returns the process of a node, if it is running.
    #[must_use]
    pub fn node(&self, i: usize) -> Option<&Convergence> {
        self.nodes[i].convergence.as_ref()
    }

    /// Returns the running processes.
    pub fn running(&self) -> impl Iterator<Item = &Convergence> {
        self.nodes
            .iter()
            .filter_map(|node| node.convergence.as_ref())
    }

    /// Sets the newest file format that the next process of a node can read, as another program version
    /// would.
    pub fn set_newest_format(&mut self, i: usize, format: u64) {
        self.nodes[i].newest_format = format;
    }

    /// Starts the process of a node with empty state, unless it is running.
    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if node.convergence.is_some() {
            return;
        }
        node.start_count += 1;
        let convergence = Convergence::builder()
            .with_tuning(self.tuning)
            .with_newest_format(node.newest_format)
            .with_seed(self.seed ^ ((i as u64) << 32) ^ node.start_count)
            .build(
                node.vm.clone(),
                node.data_centre.clone(),
                self.platform.source(node.replica),
                self.network.peers(&node.vm),
            );
        self.network
            .set_process(&node.vm, Some(convergence.clone()));
        convergence.run();
        node.convergence = Some(convergence);
    }

    /// Starts all processes.
    pub fn start_all(&mut self) {
        for i in 0..self.nodes.len() {
            self.start(i);
        }
    }

    /// Stops the process of a node.
    pub async fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        self.network.set_process(&node.vm, None);
        if let Some(convergence) = node.convergence.take() {
            convergence.close().await;
        }
    }

    /// Stops all processes.
    pub async fn close(mut self) {
        for i in 0..self.nodes.len() {
            self.kill(i).await;
        }
    }

    /// Returns the version of a file that is in force on a node.
    #[must_use]
    pub fn in_force(&self, i: usize, name: &FileName) -> Option<Version> {
        self.node(i)?.version(name)
    }

    /// Waits until all running nodes are ready. Returns `false` if they are not after `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        self.wait(limit, |node| *node.ready().borrow()).await
    }

    /// Waits until all running nodes have a generation of a file in force. Returns `false` if they do not
    /// after `limit`.
    pub async fn wait_in_force(&self, name: &FileName, generation: u64, limit: Duration) -> bool {
        let holds = |node: &Convergence| {
            node.version(name)
                .is_some_and(|version| version.generation.get() == generation)
        };
        self.wait(limit, holds).await
    }

    async fn wait(&self, limit: Duration, holds: impl Fn(&Convergence) -> bool) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.running().all(&holds) {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.running().all(&holds)
    }
}

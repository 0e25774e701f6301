//! [`Fleet`].

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use oleanderpost::config::TokenHash;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{Process, call};

/// Bearer token of the one client account.
pub(crate) const TOKEN: &str = "a token of the tests";

const LINK_KEY: &str = "link key of the tests";
const MEMORY: &str = "400000";
const POLL: Duration = Duration::from_millis(20);

/// One daemon.
#[derive(Debug)]
pub(crate) struct Node {
    /// VM.
    pub(crate) vm: String,
    /// Its process.
    pub(crate) process: Process,
    /// Listener for callers.
    pub(crate) callers: SocketAddr,
    /// Listener for links.
    pub(crate) links: SocketAddr,
    /// Listener for operators.
    pub(crate) admin: SocketAddr,
}

/// One engine or plain service.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Name of the upstream; its VM is called the same.
    pub(crate) id: String,
    /// Its process.
    pub(crate) process: Process,
    /// Where nodes reach it.
    pub(crate) address: SocketAddr,
    /// Where faults and evidence are.
    pub(crate) control: SocketAddr,
}

/// A platform, engines, one plain service and nodes, each its own process.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Process of the platform.
    pub(crate) platform: Process,
    /// Address of the platform.
    pub(crate) platform_address: SocketAddr,
    /// Engines of the service `drafting`.
    pub(crate) engines: Vec<Upstream>,
    /// The upstream of the service `booking`.
    pub(crate) plain: Upstream,
    /// Nodes.
    pub(crate) nodes: Vec<Node>,
    /// Version of the model in the fleet file.
    pub(crate) model_version: u64,
}

impl Fleet {
    /// Starts a fleet and waits until every node takes requests.
    ///
    /// `engine_args` are further arguments of the engines.
    pub(crate) async fn start(nodes: usize, engines: usize, engine_args: &[&str]) -> Self {
        let (platform, ready) = Process::stand_in(&["platform"]);
        let platform_address = address(&ready["listen"]);
        let engines = (1..=engines).map(|i| start_engine(i, engine_args));
        let engines: Vec<_> = engines.collect();
        let plain = start_plain();
        let mut fleet = Self {
            platform,
            platform_address,
            engines,
            plain,
            nodes: Vec::new(),
            model_version: 1,
        };
        fleet.publish_upstreams().await;
        fleet.publish(1).await;
        for i in 1..=nodes {
            fleet.start_node(&format!("n{i}")).await;
        }
        for node in &fleet.nodes {
            wait_ready(node.admin).await;
        }
        fleet
    }

    /// Starts a node and enters its VM in the platform's list.
    pub(crate) async fn start_node(&mut self, vm: &str) {
        let platform = self.platform_address.to_string();
        let args = [
            "--vm",
            vm,
            "--data-centre",
            "dc1",
            "--callers-listen",
            "127.0.0.1:0",
            "--links-listen",
            "127.0.0.1:0",
            "--admin-listen",
            "127.0.0.1:0",
            "--platform",
            &platform,
            "--link-key",
            LINK_KEY,
            "--drain-grace-ms",
            "200",
        ];
        let (process, ready) = Process::daemon(&args);
        let node = Node {
            vm: vm.to_owned(),
            process,
            callers: address(&ready["callers"]),
            links: address(&ready["links"]),
            admin: address(&ready["operators"]),
        };
        self.put_vm(vm, "entry", "live", node.links).await;
        self.nodes.push(node);
    }

    /// Publishes the fleet file with a generation.
    pub(crate) async fn publish(&self, generation: u64) {
        let file = self.file(generation).to_string();
        let path = "/v1/config/fleet";
        let reply = call(self.platform_address, Method::PUT, path, &[], file).await;
        assert!(reply.expect("the platform answers").status.is_success());
    }

    /// Waits until a generation of the fleet file is in force on all nodes.
    pub(crate) async fn wait_generation(&self, generation: u64) {
        for node in &self.nodes {
            while generation_of(node.admin).await != Some(generation) {
                sleep(POLL).await;
            }
        }
    }

    /// The fleet file; JSON is YAML.
    pub(crate) fn file(&self, generation: u64) -> Value {
        let engine = |e: &Upstream| {
            json!({
                "id": e.id, "vm": e.id, "address": e.address, "data_centre": "dc1",
                "memory": MEMORY.parse::<u64>().expect("a number"),
            })
        };
        let engines: Vec<_> = self.engines.iter().map(engine).collect();
        json!({
            "format": 1,
            "generation": generation,
            "services": [
                {
                    "name": "drafting", "kind": "engines", "repeatable": true,
                    "model": {"name": "model", "version": self.model_version},
                    "time_limit_ms": 60_000,
                    "classes": [
                        {"name": "short", "up_to": 4_000},
                        {"name": "medium", "up_to": 100_000},
                        {"name": "long", "up_to": 1_000_000},
                    ],
                    "upstreams": engines,
                },
                {
                    "name": "booking", "kind": "plain", "repeatable": false,
                    "time_limit_ms": 10_000,
                    "calls": [{"method": "GET", "path": "/", "repeatable": true}],
                    "upstreams": [{
                        "id": self.plain.id, "vm": self.plain.id,
                        "address": self.plain.address, "data_centre": "dc1",
                    }],
                },
            ],
            "accounts": [{
                "name": "desk",
                "token_sha256": TokenHash::of_token(TOKEN).to_string(),
                "services": ["drafting", "booking"],
            }],
        })
    }

    /// Enters a VM in the platform's list, or changes its state.
    pub(crate) async fn put_vm(&self, vm: &str, role: &str, state: &str, at: SocketAddr) {
        let body = json!({
            "id": vm, "role": role, "state": state, "data_centre": "dc1",
            "address": at, "incarnation": 1,
        });
        let path = format!("/v1/vms/{vm}");
        let body = body.to_string();
        let reply = call(self.platform_address, Method::PUT, &path, &[], body).await;
        assert!(reply.expect("the platform answers").status.is_success());
    }

    async fn publish_upstreams(&self) {
        for upstream in self.engines.iter().chain([&self.plain]) {
            self.put_vm(&upstream.id, "upstream", "live", upstream.address)
                .await;
        }
    }
}

/// Generation of the fleet file in force on a node.
async fn generation_of(admin: SocketAddr) -> Option<u64> {
    let reply = call(admin, Method::GET, "/status", &[], "").await?;
    reply.json()["node"]["files"][0]["accepted"]["generation"].as_u64()
}

/// Waits until the node takes requests.
async fn wait_ready(admin: SocketAddr) {
    loop {
        let reply = call(admin, Method::GET, "/readyz", &[], "").await;
        if reply.is_some_and(|reply| reply.status == StatusCode::OK) {
            return;
        }
        sleep(POLL).await;
    }
}

fn start_engine(i: usize, more: &[&str]) -> Upstream {
    let id = format!("e{i}");
    let mut args = vec!["engine", "--id", &id, "--model", "model"];
    args.extend(["--memory", MEMORY]);
    args.extend(more);
    let (process, ready) = Process::stand_in(&args);
    upstream(id, process, &ready)
}

fn start_plain() -> Upstream {
    let (process, ready) = Process::stand_in(&["plain"]);
    upstream("p1".to_owned(), process, &ready)
}

fn upstream(id: String, process: Process, ready: &Value) -> Upstream {
    Upstream {
        id,
        process,
        address: address(&ready["listen"]),
        control: address(&ready["control"]),
    }
}

fn address(value: &Value) -> SocketAddr {
    let text = value.as_str().expect("an address");
    text.parse().expect("an address")
}

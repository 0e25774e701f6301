//! [`Fleet`].

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use oleanderpost::config::TokenHash;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{Process, send_request};

/// Bearer token of the one client account.
pub(crate) const TOKEN: &str = "a token of the tests";

const LINK_KEY: &str = "link key of the tests";
const MEMORY: &str = "400000";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One daemon process.
#[derive(Debug)]
pub(crate) struct Node {
    /// Name of its VM.
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
    /// Name of the upstream and of its VM.
    pub(crate) id: String,
    /// Its process.
    pub(crate) process: Process,
    /// Address of its listener for nodes.
    pub(crate) address: SocketAddr,
    /// Address of its control listener, which serves faults and evidence.
    pub(crate) control: SocketAddr,
}

/// A platform, engines, one plain service and nodes, each in a process of its own.
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
    /// The nodes, in the order of their names.
    pub(crate) nodes: Vec<Node>,
    /// Model version in the fleet file.
    pub(crate) model_version: u64,
}

impl Fleet {
    /// Starts a fleet and waits until all nodes accept requests.
    ///
    /// `engine_args` are additional arguments of the engine processes.
    pub(crate) async fn start(nodes: usize, engines: usize, engine_args: &[&str]) -> Self {
        let (platform, ready) = Process::stand_in(&["platform"]);
        let platform_address = parse_address(&ready["listen"]);
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

    /// Starts a node and adds its VM to the platform's VM list.
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
            callers: parse_address(&ready["callers"]),
            links: parse_address(&ready["links"]),
            admin: parse_address(&ready["operators"]),
        };
        self.put_vm(vm, "entry", "live", node.links).await;
        self.nodes.push(node);
    }

    /// Publishes the fleet file as generation `generation`.
    pub(crate) async fn publish(&self, generation: u64) {
        let file = self.file(generation).to_string();
        let path = "/v1/config/fleet";
        let reply = send_request(self.platform_address, Method::PUT, path, &[], file).await;
        assert!(reply.expect("the platform must answer").status.is_success());
    }

    /// Waits until generation `generation` of the fleet file is in force at all nodes.
    pub(crate) async fn wait_generation(&self, generation: u64) {
        for node in &self.nodes {
            while generation_in_force(node.admin).await != Some(generation) {
                sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// The fleet file as JSON, which is also valid YAML.
    pub(crate) fn file(&self, generation: u64) -> Value {
        let engine = |e: &Upstream| {
            json!({
                "id": e.id, "vm": e.id, "address": e.address, "data_centre": "dc1",
                "memory": MEMORY.parse::<u64>().expect("MEMORY must be a number"),
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

    /// Adds a VM to the platform's VM list or updates its entry.
    pub(crate) async fn put_vm(&self, vm: &str, role: &str, state: &str, at: SocketAddr) {
        let body = json!({
            "id": vm, "role": role, "state": state, "data_centre": "dc1",
            "address": at, "incarnation": 1,
        });
        let path = format!("/v1/vms/{vm}");
        let body = body.to_string();
        let reply = send_request(self.platform_address, Method::PUT, &path, &[], body).await;
        assert!(reply.expect("the platform must answer").status.is_success());
    }

    async fn publish_upstreams(&self) {
        for upstream in self.engines.iter().chain([&self.plain]) {
            self.put_vm(&upstream.id, "upstream", "live", upstream.address)
                .await;
        }
    }
}

/// Generation of the fleet file in force at a node.
async fn generation_in_force(admin: SocketAddr) -> Option<u64> {
    let reply = send_request(admin, Method::GET, "/status", &[], "").await?;
    reply.json()["node"]["files"][0]["accepted"]["generation"].as_u64()
}

/// Waits until the node reports that it is ready.
async fn wait_ready(admin: SocketAddr) {
    loop {
        let reply = send_request(admin, Method::GET, "/readyz", &[], "").await;
        if reply.is_some_and(|reply| reply.status == StatusCode::OK) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn start_engine(i: usize, extra_args: &[&str]) -> Upstream {
    let id = format!("e{i}");
    let mut args = vec!["engine", "--id", &id, "--model", "model"];
    args.extend(["--memory", MEMORY]);
    args.extend(extra_args);
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
        address: parse_address(&ready["listen"]),
        control: parse_address(&ready["control"]),
    }
}

fn parse_address(value: &Value) -> SocketAddr {
    let text = value.as_str().expect("an address");
    text.parse().expect("an address")
}

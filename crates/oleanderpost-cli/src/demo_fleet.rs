//! [`DemoFleet`].

use std::net::{Ipv4Addr, SocketAddr};

use serde_json::{Value, json};

use oleanderpost::{
    config::{TokenHash, Upstream},
    types::{DataCentre, FileName, Incarnation, Tokens, UpstreamId, Vm, VmId, VmRole, VmState},
};
use oleanderpost_standin::{
    EngineServer, EngineSettings, PlainServer, PlatformServer, PlatformSettings,
};
use oleanderpostd::{Daemon, Settings, SettingsFile};

use crate::{DemoPreset, LoadAccount, Result, demo_preset::DemoService};

const DATA_CENTRES: usize = 3;
const TIME_LIMIT_MS: u64 = 60_000;
/// Model that all engines serve.
const MODEL: &str = "base";
const FLEET_FILE: &str = "fleet";
const LINK_KEY: &str = "link key of the demo";
/// Bearer tokens of the client accounts and their share of the load: one large account and three small ones.
const ACCOUNTS: [(&str, f64); 4] = [
    ("large", 5.0),
    ("north", 1.0),
    ("south", 1.0),
    ("west", 1.0),
];
/// Classes of prompt length: name and upper bound in tokens.
const CLASSES: [(&str, u64); 4] = [
    ("short", 4_000),
    ("middle", 32_000),
    ("long", 100_000),
    ("huge", 1_000_000),
];

/// A platform, engines, a plain service and nodes that run in one process.
pub(crate) struct DemoFleet {
    platform: PlatformServer,
    engines: Vec<EngineServer>,
    plain: PlainServer,
    nodes: Vec<Daemon>,
}

/// Servers started so far and the services collected for the fleet file.
struct DemoFleetBuilder {
    preset: DemoPreset,
    time_scale: f64,
    seed: u64,
    platform: PlatformServer,
    engines: Vec<EngineServer>,
    services: Vec<Value>,
}

impl DemoFleet {
    /// Starts a fleet whose engines run `time_scale` times faster than their step model.
    pub(crate) async fn new(preset: DemoPreset, time_scale: f64, seed: u64) -> Result<Self> {
        let mut builder = DemoFleetBuilder {
            preset,
            time_scale,
            seed,
            platform: PlatformServer::new(PlatformSettings::default(), any_port()).await?,
            engines: Vec::new(),
            services: Vec::new(),
        };
        for service in preset.engine_services() {
            builder.add_service(service).await?;
        }
        let plain = builder.add_plain_service().await?;
        builder.publish_fleet_file()?;
        let nodes = builder.start_nodes().await?;
        Ok(Self {
            platform: builder.platform,
            engines: builder.engines,
            plain,
            nodes,
        })
    }

    /// Name of the fleet file.
    pub(crate) fn file_name(&self) -> FileName {
        parse_name(FLEET_FILE)
    }

    /// Addresses of the nodes' listeners for callers.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Daemon::callers_address).collect()
    }

    /// Address of the first node's listener for operators.
    pub(crate) fn admin_address(&self) -> SocketAddr {
        self.nodes[0].admin_address()
    }

    /// Addresses of the engines' control listeners.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        self.engines
            .iter()
            .map(EngineServer::control_address)
            .collect()
    }

    /// Client accounts that send the load.
    pub(crate) fn accounts(&self) -> Vec<LoadAccount> {
        let account = |(token, weight): (&str, f64)| LoadAccount {
            token: token.to_owned(),
            weight,
        };
        ACCOUNTS.into_iter().map(account).collect()
    }

    /// Whether each node accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.nodes.iter().all(Daemon::is_ready)
    }

    /// Drains the nodes and stops all servers.
    pub(crate) async fn close(self) {
        let mut closing = tokio::task::JoinSet::new();
        for node in self.nodes {
            closing.spawn(node.close());
        }
        closing.join_all().await;
        for engine in self.engines {
            engine.close().await;
        }
        self.plain.close().await;
        self.platform.close().await;
    }
}

impl DemoFleetBuilder {
    async fn add_service(&mut self, service: DemoService) -> Result<()> {
        let mut upstreams = Vec::new();
        for number in 0..service.engine_count {
            let id: UpstreamId = parse_name(&format!("{}-{number}", service.name));
            let settings = EngineSettings {
                id: id.clone(),
                model: parse_name(MODEL),
                memory: service.memory,
                time_scale: self.time_scale,
                seed: self.seed + number as u64,
                ..EngineSettings::default()
            };
            let engine = EngineServer::new(settings, any_port(), any_port()).await?;
            upstreams.push(self.register_upstream(id, number, engine.address(), service.memory));
            self.engines.push(engine);
        }
        self.services.push(json!({
            "name": service.name,
            "kind": "engines",
            "model": {"name": MODEL, "version": 1},
            "time_limit_ms": TIME_LIMIT_MS,
            "repeatable": true,
            "classes": CLASSES.map(|(name, up_to)| json!({"name": name, "up_to": up_to})),
            "upstreams": upstreams,
        }));
        Ok(())
    }

    async fn add_plain_service(&mut self) -> Result<PlainServer> {
        let plain = PlainServer::new(any_port(), any_port()).await?;
        let service = self.preset.plain_service();
        let upstream =
            self.register_upstream(parse_name(service), 0, plain.address(), Tokens::new(0));
        self.services.push(json!({
            "name": service,
            "kind": "plain",
            "time_limit_ms": TIME_LIMIT_MS,
            "upstreams": [upstream],
        }));
        Ok(plain)
    }

    /// Adds the upstream's VM to the platform's list and returns the upstream's configuration.
    fn register_upstream(
        &self,
        id: UpstreamId,
        number: usize,
        address: SocketAddr,
        memory: Tokens,
    ) -> Upstream {
        let vm: VmId = parse_name(&format!("vm-{id}"));
        self.put_vm(vm.clone(), VmRole::Upstream, number, address);
        Upstream {
            id,
            vm,
            address,
            data_centre: data_centre(number),
            memory,
        }
    }

    fn put_vm(&self, id: VmId, role: VmRole, number: usize, address: SocketAddr) {
        self.platform.platform().put_vm(Vm {
            id,
            role,
            state: VmState::Live,
            data_centre: data_centre(number),
            address,
            incarnation: Incarnation::new(1),
        });
    }

    /// Puts the fleet file into the configuration service. It is written as JSON, which is also valid YAML.
    fn publish_fleet_file(&self) -> Result<()> {
        let services: Vec<&Value> = self
            .services
            .iter()
            .map(|service| &service["name"])
            .collect();
        let account = |(token, _): (&str, f64)| {
            json!({
                "name": token,
                "token_sha256": TokenHash::of_token(token),
                "services": services,
            })
        };
        let file = json!({
            "generation": 1,
            "services": self.services,
            "accounts": ACCOUNTS.map(account),
        });
        self.platform
            .platform()
            .put_file(parse_name(FLEET_FILE), file.to_string())?;
        Ok(())
    }

    async fn start_nodes(&self) -> Result<Vec<Daemon>> {
        let mut nodes = Vec::new();
        for number in 0..self.preset.node_count() {
            let vm = format!("entry-{number}");
            let any_address_text = || Some(any_port().to_string());
            let file = SettingsFile {
                vm: Some(vm.clone()),
                data_centre: Some(data_centre(number).to_string()),
                callers_listen: any_address_text(),
                links_listen: any_address_text(),
                admin_listen: any_address_text(),
                platform: Some(self.platform.address().to_string()),
                link_key: Some(LINK_KEY.to_owned()),
                drain_grace_ms: Some(0),
                ..SettingsFile::default()
            };
            let node = Daemon::start(Settings::from_file(&file)?).await?;
            self.put_vm(parse_name(&vm), VmRole::Entry, number, node.links_address());
            nodes.push(node);
        }
        Ok(nodes)
    }
}

fn data_centre(number: usize) -> DataCentre {
    parse_name(&format!("dc-{}", number % DATA_CENTRES))
}

/// Parses a name that this module generates and that is therefore valid.
fn parse_name<T: std::str::FromStr<Err = oleanderpost::types::Error>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

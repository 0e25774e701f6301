//! [`Node`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use oleanderpost_peers::{Handler, LinkTimings, Links, LinksBuilder, SharedKey};
use oleanderpost_types::{DataCentre, Incarnation, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha20Rng;
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    AdminServer, CallerServer, DecisionRouter, Discovery, DiscoverySource, EngineControl,
    EntryContext, Error, NodeState, PeerStateSource, Result, SchedulerClient, SchedulerHost,
    SchedulerMessage, Settings, UpstreamCodec, node_name, node_name::NodeNameAddressBook,
};

/// Pause between two looks at requests in progress while a node drains.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time for which a node that drains goes on at least: the balancer needs it to send nothing more.
const DRAIN_LEAST: Duration = Duration::from_millis(2_600);
/// Time for closing the links.
const LINKS_CLOSE: Duration = Duration::from_millis(200);
/// Pause between two clean-ups of what belongs to upstreams that are gone.
const TIDY_EVERY: Duration = Duration::from_secs(2);
/// Longest wait between two tries to open a link; nodes come back within seconds.
const LINK_BACKOFF_MAX: Duration = Duration::from_millis(800);

/// What the platform brings: the form of requests, orders to engines, and its store.
pub struct PlatformParts {
    /// Form of requests.
    pub codec: Arc<dyn UpstreamCodec>,
    /// Orders to engines.
    pub control: Arc<dyn EngineControl>,
    /// Store.
    pub source: Arc<dyn DiscoverySource>,
}

/// One running entry node.
pub struct Node {
    state: Arc<NodeState>,
    entry: Arc<EntryContext>,
    host: Arc<SchedulerHost>,
    links: Links<SchedulerMessage>,
    settings: Mutex<Settings>,
    callers: SocketAddr,
    admin: SocketAddr,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`], [`Error::Links`] when an address can't be bound, [`Error::Settings`].
    pub async fn start(settings: &Settings, platform: PlatformParts) -> Result<Self> {
        let own = node_name(settings.links_listen)?;
        let state = Arc::new(NodeState::new(settings.evidence_limit()));
        let host = Arc::new(SchedulerHost::new());
        let links = open_links(settings, &own, &host, &state).await?;
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| node_name(*seed))
            .collect::<Result<Vec<_>>>()?;
        let start = rand::rng().random();
        let scheduler = SchedulerClient::new(
            own.clone(),
            seeds,
            Arc::new(links.links.clone()),
            Arc::clone(&host),
            Arc::clone(&state),
            start,
        );
        let scheduler = Arc::new(scheduler);
        links.handler.connect(&scheduler);
        host.set_sink(Arc::new(DecisionRouter::new(&scheduler)));
        let entry = EntryContext::new(
            settings,
            platform.codec,
            platform.control,
            Arc::clone(&state),
            Arc::clone(&scheduler),
        );
        let entry = Arc::new(entry);
        let front = CallerServer::open(
            settings.callers_listen,
            Arc::clone(&entry),
            settings.descriptors,
        )?;
        let admin =
            AdminServer::open(settings.admin_listen, Arc::clone(&entry), Arc::clone(&host))?;
        let (callers, admin_address) = (front.address()?, admin.address()?);
        let changed = Arc::new(Notify::new());
        let discovery = Discovery::new(platform.source, Arc::clone(&state), Arc::clone(&changed))
            .with_peers(Arc::clone(&scheduler) as Arc<dyn PeerStateSource>);
        let mut tasks = JoinSet::new();
        tasks.spawn(front.run());
        tasks.spawn(admin.run());
        tasks.spawn(discovery.run());
        tasks.spawn(follow_changes(
            Arc::clone(&entry),
            Arc::clone(&host),
            changed,
        ));
        tasks.spawn(tidy(Arc::clone(&entry)));
        let running = Arc::clone(&host);
        tasks.spawn(async move { running.run().await });
        tasks.spawn(async move { scheduler.run().await });
        spdlog::info!("started", kv: { node = settings.name.as_str(), link: = own, callers: = settings.callers_listen });
        Ok(Self {
            state,
            entry,
            host,
            links: links.links,
            settings: Mutex::new(settings.clone()),
            callers,
            admin: admin_address,
            tasks,
        })
    }

    /// Address for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Address for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin
    }

    /// What the node knows.
    #[must_use]
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Takes in changed settings: seeds at once; the others need a new start, and are named in the log.
    pub fn reload(&self, settings: Settings) {
        let mut present = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        if *present == settings {
            return;
        }
        match settings
            .seeds
            .iter()
            .map(|seed| node_name(*seed))
            .collect::<Result<Vec<_>>>()
        {
            Ok(seeds) => self.entry.scheduler.set_seeds(seeds),
            Err(e) => spdlog::error!("seeds not taken in", kv: { error: = e }),
        }
        let rest = Settings {
            seeds: present.seeds.clone(),
            ..settings.clone()
        };
        spdlog::info!("settings taken in", kv: { restart_needed = rest != *present });
        *present = settings;
    }

    /// Drains: takes no new connections, ends the requests in progress, and stops.
    pub async fn close(mut self) {
        spdlog::info!("draining", kv: { in_progress = self.entry.in_progress() });
        let limit = self
            .settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain_limit();
        self.state.start_drain(limit);
        self.host.stop_serving();
        let began = Instant::now();
        while began.elapsed() < limit {
            let idle = self.entry.in_progress() == 0;
            if idle && began.elapsed() >= DRAIN_LEAST.min(limit) {
                break;
            }
            sleep(DRAIN_LOOK).await;
        }
        self.tasks.shutdown().await;
        self.links.close(LINKS_CLOSE).await;
        spdlog::info!("stopped", kv: { in_progress = self.entry.in_progress() });
    }
}

struct OpenLinks {
    links: Links<SchedulerMessage>,
    handler: Arc<LinkHandler>,
}

/// Takes messages of other nodes.
struct LinkHandler {
    host: Arc<SchedulerHost>,
    state: Arc<NodeState>,
    client: std::sync::OnceLock<std::sync::Weak<SchedulerClient>>,
}

impl LinkHandler {
    fn connect(&self, client: &Arc<SchedulerClient>) {
        // Set once, right after the client was made.
        let _ = self.client.set(Arc::downgrade(client));
    }
}

#[async_trait::async_trait]
impl Handler<SchedulerMessage> for LinkHandler {
    async fn handle(&self, from: &VmId, msg: SchedulerMessage) -> Option<SchedulerMessage> {
        if let SchedulerMessage::Decided { id, decision } = msg {
            let client = self.client.get().and_then(std::sync::Weak::upgrade);
            if let Some(client) = client {
                client.deliver_decision(id, decision);
            }
            return None;
        }
        if msg == SchedulerMessage::AskState {
            let state = self.state.state_for_peers().map(Box::new);
            return Some(SchedulerMessage::State { state });
        }
        let mut answer = self.host.handle(from, msg, false);
        if let Some(SchedulerMessage::HeartbeatReply { evidence, .. }) = &mut answer {
            *evidence = self.state.evidence_for_peers();
        }
        answer
    }
}

async fn open_links(
    settings: &Settings,
    own: &VmId,
    host: &Arc<SchedulerHost>,
    state: &Arc<NodeState>,
) -> Result<OpenLinks> {
    let key = SharedKey::new(settings.link_key.as_bytes())?;
    let data_centre = DataCentre::new(&settings.data_centre.to_ascii_lowercase());
    let data_centre = data_centre.map_err(|e| Error::Settings(vec![e.to_string()]))?;
    let rng = ChaCha20Rng::from_rng(&mut rand::rng());
    let timings = LinkTimings {
        backoff_max: LINK_BACKOFF_MAX,
        ..LinkTimings::default()
    };
    let builder = LinksBuilder::new(
        own.clone(),
        incarnation(),
        data_centre,
        key,
        settings.links_listen,
        rng,
    );
    let handler = Arc::new(LinkHandler {
        host: Arc::clone(host),
        state: Arc::clone(state),
        client: std::sync::OnceLock::new(),
    });
    let builder = builder
        .with_address_book(Arc::new(NodeNameAddressBook))
        .with_timings(timings);
    let links = builder
        .open::<SchedulerMessage>(Arc::clone(&handler) as Arc<dyn Handler<_>>)
        .await?;
    Ok(OpenLinks { links, handler })
}

async fn follow_changes(entry: Arc<EntryContext>, host: Arc<SchedulerHost>, changed: Arc<Notify>) {
    loop {
        changed.notified().await;
        if let Some(deployment) = entry.state.config() {
            let directory = entry.state.directory().clone();
            host.refresh(&deployment, &directory);
            entry.clean_up();
        }
    }
}

async fn tidy(entry: Arc<EntryContext>) {
    loop {
        sleep(TIDY_EVERY).await;
        entry.clean_up();
    }
}

/// Start number of this process: the wall clock in milliseconds since 1970.
fn incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |span| span.as_millis());
    Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

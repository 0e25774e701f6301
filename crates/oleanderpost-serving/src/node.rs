//! [`Node`].

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use oleanderpost_peers::{Handler, LinkLimits, LinkTimings, Links, LinksBuilder, SharedKey};
use oleanderpost_types::{DataCentre, Incarnation, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha20Rng;
use tokio::{
    sync::Notify,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    AdminServer, BootTime, CallerServer, DecisionRouter, Discovery, DiscoverySource, EngineControl,
    EntryContext, Error, NodeState, PeerStateSource, Result, SchedulerClient, SchedulerHost,
    SchedulerMessage, Settings, SignalVersion, StorePosition, UpstreamCodec, UpstreamId,
    UpstreamSignal, caller_connections::CallerConnections, memory_limits::MemoryLimits, node_name,
    node_name::NodeNameAddressBook,
};

/// Interval between updates of whether this node relays for others; heartbeats pass it on as often.
const RELAY_OFFER_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks for requests in progress while the node drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum duration of a drain: load balancers need this time to stop sending requests to the node.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Part of the drain time for the last responses: those to requests that are unanswered until then, and the rest of
/// responses in progress.
const CLOSE_TIME: Duration = Duration::from_millis(250);
/// Time limit for closing the links to other nodes.
const LINKS_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between clean-ups of state that belongs to removed upstreams.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between log lines about retries, a small part of the window of the retry budget.
const RETRY_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Longest delay between attempts to open a link; nodes restart within seconds.
const MAX_LINK_BACKOFF: Duration = Duration::from_millis(800);

/// Minimum time between two updates of the scheduler, small compared with half a second, after which upstreams
/// expect nodes to keep to what they state.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between two checks whether a cold upstream has become warm. A VM that wakes from suspension waits for
/// the rest of the timer only.
const COLD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Platform-specific implementations that a node needs.
pub struct PlatformParts {
    /// Reads and builds the headers of requests and responses.
    pub codec: Arc<dyn UpstreamCodec>,
    /// Reserves and releases memory of engines.
    pub control: Arc<dyn EngineControl>,
    /// Discovery store.
    pub source: Arc<dyn DiscoverySource>,
}

/// A running entry node.
pub struct Node {
    state: Arc<NodeState>,
    entry: Arc<EntryContext>,
    scheduler_host: Arc<SchedulerHost>,
    links: Links<SchedulerMessage>,
    settings: Mutex<Settings>,
    callers_address: SocketAddr,
    admin_address: SocketAddr,
    connections: Arc<CallerConnections>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] or [`Error::Links`] if an address can't be bound; [`Error::Settings`] if a setting
    /// is invalid.
    pub async fn start(settings: &Settings, platform: PlatformParts) -> Result<Self> {
        let own_name = node_name(settings.links_listen)?;
        let state = Arc::new(NodeState::new(settings.max_evidence_age()));
        let scheduler_host = SchedulerHost::new().with_retry_totals(settings.retry_totals());
        let scheduler_host = Arc::new(scheduler_host);
        let links = open_links(settings, &own_name, &scheduler_host, &state).await?;
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| node_name(*seed))
            .collect::<Result<Vec<_>>>()?;
        let start_id = rand::rng().random();
        let scheduler = SchedulerClient::new(
            own_name.clone(),
            seeds,
            Arc::new(links.links.clone()),
            Arc::clone(&scheduler_host),
            Arc::clone(&state),
            start_id,
        );
        let scheduler = Arc::new(scheduler);
        links.handler.set_client(&scheduler);
        scheduler_host.set_sink(Arc::new(DecisionRouter::new(&scheduler)));
        let entry = EntryContext::new(
            settings,
            platform.codec,
            platform.control,
            Arc::clone(&state),
            Arc::clone(&scheduler),
        );
        let entry = Arc::new(entry);
        let caller_server = CallerServer::bind(settings, Arc::clone(&entry))?;
        let admin_server = AdminServer::bind(
            settings.admin_listen,
            Arc::clone(&entry),
            Arc::clone(&scheduler_host),
        )?;
        let (callers_address, admin_address) = (caller_server.address()?, admin_server.address()?);
        let relay_address = relay_address(callers_address, settings.links_listen);
        let changed = Arc::new(Notify::new());
        let discovery = Discovery::new(platform.source, Arc::clone(&state), Arc::clone(&changed))
            .with_peers(Arc::clone(&scheduler) as Arc<dyn PeerStateSource>);
        let connections = Arc::clone(caller_server.connections());
        let mut tasks = JoinSet::new();
        tasks.spawn(caller_server.run());
        tasks.spawn(admin_server.run());
        tasks.spawn(discovery.run());
        tasks.spawn(refresh_on_change(
            Arc::clone(&entry),
            Arc::clone(&scheduler_host),
            changed,
        ));
        tasks.spawn(clean_up_periodically(Arc::clone(&entry)));
        tasks.spawn(log_retries_periodically(Arc::clone(&entry)));
        let (reach, reach_state) = (Arc::clone(&entry.reach), Arc::clone(&state));
        tasks.spawn(async move { reach.run(&reach_state).await });
        tasks.spawn(offer_relay(Arc::clone(&entry), relay_address));
        let running_host = Arc::clone(&scheduler_host);
        tasks.spawn(async move { running_host.run().await });
        tasks.spawn(async move { scheduler.run().await });
        spdlog::info!("started", kv: { node = settings.name.as_str(), link: = own_name, callers: = settings.callers_listen });
        Ok(Self {
            state,
            entry,
            scheduler_host,
            links: links.links,
            settings: Mutex::new(settings.clone()),
            callers_address,
            admin_address,
            connections,
            tasks,
        })
    }

    /// Address that the listener for callers is bound to.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Address that the listener for operators is bound to.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Node whose scheduler this node uses.
    #[must_use]
    pub fn scheduler(&self) -> VmId {
        self.entry.scheduler.leader()
    }

    /// Number of nodes in the fleet, this one included, as far as the node knows.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.entry.scheduler.nodes()
    }

    /// Configuration, upstreams and evidence of the node.
    #[must_use]
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Applies changed settings. Only changed seeds take effect at once; for other changes, the log states
    /// that a restart is needed.
    pub fn reload(&self, settings: Settings) {
        let mut current = self.settings.lock().unwrap_or_else(PoisonError::into_inner);
        if *current == settings {
            return;
        }
        match settings
            .seeds
            .iter()
            .map(|seed| node_name(*seed))
            .collect::<Result<Vec<_>>>()
        {
            Ok(seeds) => self.entry.scheduler.set_seeds(seeds),
            Err(e) => spdlog::error!("failed to apply the new seeds", kv: { error: = e }),
        }
        let with_current_seeds = Settings {
            seeds: current.seeds.clone(),
            ..settings.clone()
        };
        spdlog::info!("settings reloaded", kv: { restart_needed = with_current_seeds != *current });
        *current = settings;
    }

    /// Drains the node and stops it: reports that the node is not ready, and waits until the requests in
    /// progress have ended or the drain time is over. Then closes the connections of callers; requests that have just
    /// arrived on them are still answered, and those that have no response at the end of the drain are rejected.
    pub async fn close(mut self) {
        spdlog::info!("draining", kv: { in_progress = self.entry.in_progress() });
        let drain_time = self
            .settings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain_time()
            .saturating_sub(CLOSE_TIME);
        self.state.start_drain(drain_time);
        self.scheduler_host.stop_serving();
        let started_at = Instant::now();
        while started_at.elapsed() < drain_time {
            let is_idle = self.entry.in_progress() == 0;
            if is_idle && started_at.elapsed() >= MIN_DRAIN_TIME.min(drain_time) {
                break;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let time_left = drain_time.saturating_sub(started_at.elapsed());
        let mut closed = timeout(time_left, self.connections.close()).await;
        if closed.is_err() {
            self.state.end_drain();
            closed = timeout(CLOSE_TIME, self.connections.close()).await;
        }
        if closed.is_err() {
            spdlog::warn!("stopping with open connections", kv: { open = self.connections.open() });
        }
        self.tasks.shutdown().await;
        self.entry.log_retries();
        self.links.close(LINKS_CLOSE_TIMEOUT).await;
        spdlog::info!("stopped", kv: { in_progress = self.entry.in_progress() });
    }
}

struct OpenLinks {
    links: Links<SchedulerMessage>,
    handler: Arc<LinkHandler>,
}

/// Handles messages from other nodes.
struct LinkHandler {
    scheduler_host: Arc<SchedulerHost>,
    state: Arc<NodeState>,
    client: std::sync::OnceLock<std::sync::Weak<SchedulerClient>>,
}

impl LinkHandler {
    fn set_client(&self, client: &Arc<SchedulerClient>) {
        // Fails only if the client is set already; it is set once, right after its creation.
        let _ = self.client.set(Arc::downgrade(client));
    }

    /// Applies signals before the requests that follow them on the same link.
    fn apply_signals(&self, from: &VmId, signals: &[UpstreamSignal]) {
        if self.state.apply_signals(from, signals) {
            let directory = self.state.directory().clone();
            self.scheduler_host
                .refresh_limits(&directory, &self.state.signals());
            self.scheduler_host
                .refresh_cold(&self.state.cold_upstreams());
        }
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
        if let SchedulerMessage::RequestVerdicts { verdicts } = &msg {
            let client = self.client.get().and_then(std::sync::Weak::upgrade);
            if let Some(client) = client {
                client.apply_verdicts(from, verdicts);
            }
            return None;
        }
        if msg == SchedulerMessage::AskState {
            let state = self.state.state_for_peers().map(Box::new);
            return Some(SchedulerMessage::State { state });
        }
        if let SchedulerMessage::AskChanges {
            after,
            era,
            config_version,
        } = msg
        {
            let after = StorePosition::new(era, after);
            let changes = self.state.changes_for_peers(after, config_version);
            let changes = changes.map(Box::new);
            return Some(SchedulerMessage::Changes { changes });
        }
        if let SchedulerMessage::Signals { signals } = &msg {
            self.apply_signals(from, signals);
            return None;
        }
        let seen = match &msg {
            SchedulerMessage::Heartbeat { seen, signals, .. } => {
                self.apply_signals(from, signals);
                *seen
            }
            _ => SignalVersion::default(),
        };
        let mut reply = self.scheduler_host.handle(from, msg, false);
        if let Some(SchedulerMessage::HeartbeatReply {
            evidence,
            signals,
            version,
            ..
        }) = &mut reply
        {
            *evidence = self.state.evidence_for_peers();
            (*signals, *version) = self.state.signals().changes_since(seen, BootTime::now());
        }
        reply
    }
}

async fn open_links(
    settings: &Settings,
    own_name: &VmId,
    scheduler_host: &Arc<SchedulerHost>,
    state: &Arc<NodeState>,
) -> Result<OpenLinks> {
    let key = SharedKey::new(settings.link_key.as_bytes())?;
    let data_centre = DataCentre::new(&settings.data_centre.to_ascii_lowercase());
    let data_centre = data_centre.map_err(|e| Error::Settings(vec![e.to_string()]))?;
    let rng = ChaCha20Rng::from_rng(&mut rand::rng());
    let timings = LinkTimings {
        backoff_max: MAX_LINK_BACKOFF,
        ..LinkTimings::default()
    };
    let limits = LinkLimits {
        max_received_bytes: MemoryLimits::new(settings.memory_mb).messages,
        ..LinkLimits::default()
    };
    let builder = LinksBuilder::new(
        own_name.clone(),
        incarnation(),
        data_centre,
        key,
        settings.links_listen,
        rng,
    );
    let handler = Arc::new(LinkHandler {
        scheduler_host: Arc::clone(scheduler_host),
        state: Arc::clone(state),
        client: std::sync::OnceLock::new(),
    });
    let builder = builder
        .with_address_book(Arc::new(NodeNameAddressBook))
        .with_limits(limits)
        .with_timings(timings);
    let links = builder
        .open::<SchedulerMessage>(Arc::clone(&handler) as Arc<dyn Handler<_>>)
        .await?;
    Ok(OpenLinks { links, handler })
}

/// Updates the scheduler when the configuration, the upstreams or their signals have changed or a cold time has ended,
/// and shares new signals.
async fn refresh_on_change(
    entry: Arc<EntryContext>,
    scheduler_host: Arc<SchedulerHost>,
    changed: Arc<Notify>,
) {
    let mut next_cold_end = None;
    loop {
        let upstreams_changed = tokio::select! {
            () = changed.notified() => true,
            process_left = entry.state.signals_changed() => process_left,
            () = sleep(next_cold_end.unwrap_or_default()), if next_cold_end.is_some() => false,
        };
        entry.scheduler.send_signals();
        let cold = entry.state.cold_upstreams();
        entry.state.log_cold_changes(&cold);
        let now = BootTime::now();
        let cold_ends = cold.iter().map(|u| u.until.since(now));
        next_cold_end = cold_ends.min().map(|left| left.min(COLD_CHECK_INTERVAL));
        let directory = entry.state.directory().clone();
        {
            let signals = entry.state.signals();
            scheduler_host.refresh_limits(&directory, &signals);
            let limit = |id: &UpstreamId| directory.get(id).and_then(|u| signals.limit(u));
            let is_cold = |id: &UpstreamId| cold.iter().any(|u| u.id == *id);
            entry
                .balancer
                .retain_permit_waits(|id| limit(id).is_some() || is_cold(id));
        }
        scheduler_host.refresh_cold(&cold);
        if let Some(config) = entry.state.config()
            && upstreams_changed
        {
            scheduler_host.refresh(&config, &directory);
            entry.clean_up();
        }
        sleep(MIN_REFRESH_INTERVAL).await;
    }
}

/// Address at which peers reach the listener for callers.
fn relay_address(mut callers: SocketAddr, links: SocketAddr) -> SocketAddr {
    if callers.ip().is_unspecified() {
        callers.set_ip(links.ip());
    }
    callers
}

/// Offers this node to peers that have lost their upstreams, unless it has lost its own.
async fn offer_relay(entry: Arc<EntryContext>, address: SocketAddr) {
    loop {
        let offered = (!entry.reach.is_lost()).then_some(address);
        entry.scheduler.offer_relay(offered);
        sleep(RELAY_OFFER_INTERVAL).await;
    }
}

async fn clean_up_periodically(entry: Arc<EntryContext>) {
    loop {
        sleep(CLEAN_UP_INTERVAL).await;
        entry.clean_up();
    }
}

async fn log_retries_periodically(entry: Arc<EntryContext>) {
    loop {
        sleep(RETRY_LOG_INTERVAL).await;
        entry.log_retries();
    }
}

/// Incarnation number of this process: the wall clock in milliseconds since 1970.
fn incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |span| span.as_millis());
    Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

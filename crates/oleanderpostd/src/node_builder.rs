//! [`NodeBuilder`]: builds the components of a node and connects them.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use oleanderpost::{
    admission::Admission,
    claims::{Claims, ClaimsBuilder, OrderReconciler, OrderReconcilerBuilder},
    config::Convergence,
    peers::{Links, LinksBuilder, PauseWatch, Roster, RosterBuilder, SharedKey, SystemClock},
    types::Incarnation,
};
use oleanderpost_serving::RetryPolicy;
use rand::{SeedableRng, rngs::StdRng};
use tokio_util::task::TaskTracker;

use crate::{
    ClaimsListObserver, ControlMetrics, DeferredLinks, EngineClient, Error, FleetDirectory,
    HttpEngineProbe, HttpOrderClient, InFlightCalls, LinkConfigPeers, LinkPeerClient,
    LinkWitnessClient, Metrics, Node, OrderPlanner, PeerHandler, PeerMessage, PlainClient,
    PlatformClient, Result, Settings,
    node::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW},
};

/// Interval at which the process checks whether it was paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks above which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Builder of a [`Node`] and its components.
pub(crate) struct NodeBuilder {
    settings: Settings,
    incarnation: Incarnation,
    platform: Arc<PlatformClient>,
    links: DeferredLinks,
}

impl NodeBuilder {
    pub(crate) fn new(settings: Settings, incarnation: Incarnation) -> Self {
        let platform = PlatformClient::new(settings.platform, settings.connect_timeout);
        Self {
            settings,
            incarnation,
            platform: Arc::new(platform),
            links: DeferredLinks::default(),
        }
    }

    /// Builds the components and opens the link listener. The returned links are the ones that the components
    /// use.
    ///
    /// # Errors
    ///
    /// [`Error::Component`] when a component cannot be built or the link listener cannot be opened.
    pub(crate) async fn build(self) -> Result<(Arc<Node>, DeferredLinks)> {
        let connect_timeout = self.settings.connect_timeout;
        let engine_client = EngineClient::new(self.settings.vm.clone(), connect_timeout);
        let pause_watch =
            PauseWatch::new(PAUSE_CHECK_INTERVAL, PAUSE_THRESHOLD, Arc::new(SystemClock));
        let roster = Arc::new(self.build_roster(&pause_watch));
        let convergence = self.build_convergence(&roster);
        let claims = Arc::new(self.build_claims());
        roster.add_observer(Arc::new(ClaimsListObserver::new(claims.clone())));
        let admission = self.build_admission(&convergence, &roster, &engine_client)?;
        let handler = PeerHandler {
            admission: admission.clone(),
            claims: claims.clone(),
            convergence: convergence.clone(),
            roster: roster.clone(),
        };
        let links = self.open_links(&roster, handler).await?;
        self.links.set(links.clone());
        let control = ControlMetrics {
            links: links.clone(),
            roster: roster.clone(),
            convergence: convergence.clone(),
            claims: claims.clone(),
        };
        let order_reconciler = self.build_order_reconciler(&convergence, &roster, &engine_client);
        let node = Node {
            plain_client: PlainClient::new(connect_timeout),
            settings: self.settings,
            metrics: Metrics::new().with_control_metrics(control),
            in_flight: InFlightCalls::default(),
            retry_policy: RetryPolicy::new(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW),
            engine_client,
            admission,
            claims,
            order_reconciler,
            convergence,
            roster,
            links,
            pause_watch,
            tasks: TaskTracker::new(),
            initialized: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        };
        Ok((Arc::new(node), self.links))
    }

    fn build_roster(&self, pause_watch: &PauseWatch) -> Roster {
        let seeds = self.settings.seed_peers.iter();
        let seeds = seeds.map(|seed| (seed.vm.clone(), seed.address));
        let builder = RosterBuilder::new(
            self.settings.vm.clone(),
            self.incarnation,
            self.settings.data_centre.clone(),
            self.platform.clone(),
            new_rng(),
        );
        builder
            .with_seeds(seeds.collect())
            .with_pause_watch(pause_watch.clone())
            .build()
    }

    fn build_convergence(&self, roster: &Arc<Roster>) -> Convergence {
        let vm = self.settings.vm.clone();
        let peers = LinkConfigPeers::new(vm.clone(), roster.clone(), self.links.clone());
        Convergence::builder().with_seed(rand::random()).build(
            vm,
            self.settings.data_centre.clone(),
            self.platform.clone(),
            Arc::new(peers),
        )
    }

    fn build_claims(&self) -> Claims {
        let client = Arc::new(LinkWitnessClient::new(self.links.clone()));
        ClaimsBuilder::new(self.settings.vm.clone(), self.incarnation, client).build()
    }

    fn build_order_reconciler(
        &self,
        convergence: &Convergence,
        roster: &Arc<Roster>,
        engine_client: &EngineClient,
    ) -> Arc<OrderReconciler> {
        let vm = self.settings.vm.clone();
        let planner = OrderPlanner::new(vm.clone(), convergence.clone(), roster.clone());
        let client = HttpOrderClient::new(engine_client.clone(), convergence.clone());
        let builder = OrderReconcilerBuilder::new(vm, Arc::new(planner), Arc::new(client));
        Arc::new(builder.build())
    }

    fn build_admission(
        &self,
        convergence: &Convergence,
        roster: &Arc<Roster>,
        engine_client: &EngineClient,
    ) -> Result<Admission> {
        let vm = self.settings.vm.clone();
        let directory = FleetDirectory::new(vm.clone(), convergence.clone(), roster.clone());
        let probe = HttpEngineProbe::new(engine_client.clone(), convergence.clone());
        let admission = Admission::builder()
            .with_directory(Arc::new(directory))
            .with_client(Arc::new(LinkPeerClient::new(self.links.clone())))
            .with_probe(Arc::new(probe))
            .with_seed(rand::random())
            .build(vm, self.settings.data_centre.clone());
        admission.map_err(|e| component_error("admission", &e))
    }

    async fn open_links(
        &self,
        roster: &Arc<Roster>,
        handler: PeerHandler,
    ) -> Result<Links<PeerMessage>> {
        let key = SharedKey::new(self.settings.link_key.as_bytes());
        let builder = LinksBuilder::new(
            self.settings.vm.clone(),
            self.incarnation,
            self.settings.data_centre.clone(),
            key.map_err(|e| component_error("links", &e))?,
            self.settings.links_listen,
            new_rng(),
        );
        let links = builder.with_address_book(roster.clone());
        let links = links.open(Arc::new(handler)).await;
        links.map_err(|e| component_error("links", &e))
    }
}

fn new_rng() -> StdRng {
    StdRng::from_rng(&mut rand::rng())
}

fn component_error(component: &'static str, e: &dyn std::fmt::Display) -> Error {
    Error::Component {
        component,
        detail: e.to_string(),
    }
}

//! [`Parts`]: the coordination parts of one node, put together.

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
    ClaimsObserver, ConfigLink, ControlMetrics, EngineClient, EngineLink, Error, FleetDirectory,
    InFlight, LateLinks, Message, Metrics, Node, OrderLink, OrderPlans, OwnerLink, PeerHandler,
    PlainClient, PlatformClient, Result, Settings, WitnessLink,
    node::{RETRY_SHARE, RETRY_SLACK, RETRY_WINDOW},
};

/// Period in which a pause of the process shows.
const PAUSE_TICK: Duration = Duration::from_millis(100);
/// Time between two ticks above which the process counts as paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// What the parts are built from.
pub(crate) struct Parts {
    settings: Settings,
    incarnation: Incarnation,
    platform: Arc<PlatformClient>,
    late: LateLinks,
}

impl Parts {
    pub(crate) fn new(settings: Settings, incarnation: Incarnation) -> Self {
        let platform = PlatformClient::new(settings.platform, settings.connect_timeout);
        Self {
            settings,
            incarnation,
            platform: Arc::new(platform),
            late: LateLinks::default(),
        }
    }

    /// Builds the parts and opens the links.
    ///
    /// # Errors
    ///
    /// [`Error::Part`] when a part cannot be built or the link listener not be opened.
    pub(crate) async fn join(self) -> Result<(Arc<Node>, LateLinks)> {
        let connect = self.settings.connect_timeout;
        let engines = EngineClient::new(self.settings.vm.clone(), connect);
        let pause = PauseWatch::new(PAUSE_TICK, PAUSE_LIMIT, Arc::new(SystemClock));
        let roster = Arc::new(self.roster(&pause));
        let convergence = self.convergence(&roster);
        let claims = Arc::new(self.claims());
        roster.add_observer(Arc::new(ClaimsObserver::new(claims.clone())));
        let admission = self.admission(&convergence, &roster, &engines)?;
        let handler = PeerHandler {
            admission: admission.clone(),
            claims: claims.clone(),
            convergence: convergence.clone(),
            roster: roster.clone(),
        };
        let links = self.links(&roster, handler).await?;
        self.late.join(links.clone());
        let control = ControlMetrics {
            links: links.clone(),
            roster: roster.clone(),
            convergence: convergence.clone(),
            claims: claims.clone(),
        };
        let orders = self.orders(&convergence, &roster, &engines);
        let node = Node {
            plain: PlainClient::new(connect),
            settings: self.settings,
            metrics: Metrics::new().with_control(control),
            in_flight: InFlight::default(),
            retries: RetryPolicy::new(RETRY_SHARE, RETRY_SLACK, RETRY_WINDOW),
            engines,
            admission,
            claims,
            orders,
            convergence,
            roster,
            links,
            pause,
            tasks: TaskTracker::new(),
            started: AtomicBool::new(false),
            draining: AtomicBool::new(false),
        };
        Ok((Arc::new(node), self.late))
    }

    fn roster(&self, pause: &PauseWatch) -> Roster {
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
            .with_pause_watch(pause.clone())
            .build()
    }

    fn convergence(&self, roster: &Arc<Roster>) -> Convergence {
        let vm = self.settings.vm.clone();
        let peers = ConfigLink::new(vm.clone(), roster.clone(), self.late.clone());
        Convergence::builder().with_seed(rand::random()).build(
            vm,
            self.settings.data_centre.clone(),
            self.platform.clone(),
            Arc::new(peers),
        )
    }

    fn claims(&self) -> Claims {
        let client = Arc::new(WitnessLink::new(self.late.clone()));
        ClaimsBuilder::new(self.settings.vm.clone(), self.incarnation, client).build()
    }

    fn orders(
        &self,
        convergence: &Convergence,
        roster: &Arc<Roster>,
        engines: &EngineClient,
    ) -> Arc<OrderReconciler> {
        let vm = self.settings.vm.clone();
        let plans = OrderPlans::new(vm.clone(), convergence.clone(), roster.clone());
        let client = OrderLink::new(engines.clone(), convergence.clone());
        let builder = OrderReconcilerBuilder::new(vm, Arc::new(plans), Arc::new(client));
        Arc::new(builder.build())
    }

    fn admission(
        &self,
        convergence: &Convergence,
        roster: &Arc<Roster>,
        engines: &EngineClient,
    ) -> Result<Admission> {
        let vm = self.settings.vm.clone();
        let directory = FleetDirectory::new(vm.clone(), convergence.clone(), roster.clone());
        let probe = EngineLink::new(engines.clone(), convergence.clone());
        let built = Admission::builder()
            .with_directory(Arc::new(directory))
            .with_client(Arc::new(OwnerLink::new(self.late.clone())))
            .with_probe(Arc::new(probe))
            .with_seed(rand::random())
            .build(vm, self.settings.data_centre.clone());
        built.map_err(|e| failed("admission", &e))
    }

    async fn links(&self, roster: &Arc<Roster>, handler: PeerHandler) -> Result<Links<Message>> {
        let key = SharedKey::new(self.settings.link_key.as_bytes());
        let builder = LinksBuilder::new(
            self.settings.vm.clone(),
            self.incarnation,
            self.settings.data_centre.clone(),
            key.map_err(|e| failed("links", &e))?,
            self.settings.links_listen,
            new_rng(),
        );
        let opened = builder.with_address_book(roster.clone());
        let opened = opened.open(Arc::new(handler)).await;
        opened.map_err(|e| failed("links", &e))
    }
}

fn new_rng() -> StdRng {
    StdRng::from_rng(&mut rand::rng())
}

fn failed(part: &'static str, e: &dyn std::fmt::Display) -> Error {
    Error::Part {
        part,
        detail: e.to_string(),
    }
}

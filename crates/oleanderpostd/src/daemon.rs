//! [`Daemon`].

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use oleanderpost::types::Incarnation;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    DeferredLinks, LinkRosterTransport, Listener, Node, NodeBuilder, Result, Settings,
    admission_refresh, routes,
};

/// Most connections of operators at a time.
const ADMIN_CONNECTIONS: u64 = 64;
/// Time for answering peers while the links close.
const LINKS_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// One running daemon.
pub struct Daemon {
    node: Arc<Node>,
    callers: Listener,
    admin: Listener,
    background: JoinSet<()>,
}

impl Daemon {
    /// Starts a daemon with checked settings.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen) when an address cannot be bound,
    /// [`Error::Component`](crate::Error::Component) when a part cannot start.
    pub async fn start(settings: Settings) -> Result<Self> {
        let (node, links) = NodeBuilder::new(settings, new_incarnation())
            .build()
            .await?;
        let background = start_background(&node, links);
        let settings = &node.settings;
        let callers = Listener::open(
            "callers",
            settings.callers_listen,
            settings.caller_connections,
            routes::callers(&node),
        );
        let callers = callers.await?;
        let admin = Listener::open(
            "operators",
            settings.admin_listen,
            ADMIN_CONNECTIONS,
            routes::admin(&node),
        );
        let admin = admin.await?;
        spdlog::info!("started", kv: {
            step = "start", vm: = settings.vm, callers: = callers.address(),
            links: = node.links.local_addr(), operators: = admin.address()
        });
        Ok(Self {
            node,
            callers,
            admin,
            background,
        })
    }

    /// Address of the listener for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the listener for links.
    #[must_use]
    pub fn links_address(&self) -> SocketAddr {
        self.node.links.local_addr()
    }

    /// Address of the listener for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Whether the node takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Drains: tells the balancer and the other nodes that this one leaves, ends every request in
    /// progress, and stops.
    pub async fn close(mut self) {
        spdlog::info!("draining", kv: {
            step = "drain", in_flight = self.node.in_flight.len()
        });
        self.node.draining.store(true, Ordering::Release);
        self.node.roster.leave();
        sleep(self.node.settings.drain_grace).await;
        self.callers.close().await;
        self.node.tasks.close();
        self.node.tasks.wait().await;
        self.node.convergence.clone().close().await;
        self.node.links.clone().close(LINKS_CLOSE_TIMEOUT).await;
        self.admin.close().await;
        self.background.shutdown().await;
        spdlog::info!("stopped", kv: { step = "drain" });
    }
}

fn start_background(node: &Arc<Node>, links: DeferredLinks) -> JoinSet<()> {
    node.roster.start(Arc::new(LinkRosterTransport::new(links)));
    node.convergence.run();
    let mut background = JoinSet::new();
    background.spawn(admission_refresh::run(node.clone()));
    let admission = node.admission.clone();
    background.spawn(async move { admission.run().await });
    let claims = node.claims.clone();
    background.spawn(async move { claims.run().await });
    let orders = node.order_reconciler.clone();
    background.spawn(async move { orders.run().await });
    background
}

/// Start number of this process: the wall clock in milliseconds since 1970.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |span| span.as_millis());
    Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

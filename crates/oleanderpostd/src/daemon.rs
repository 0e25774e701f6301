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

/// Maximum number of concurrent connections to the operators' listener.
const ADMIN_CONNECTIONS: u64 = 64;
/// Time for replies to requests of peers while the links close.
const LINKS_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    callers: Listener,
    admin: Listener,
    background: JoinSet<()>,
}

impl Daemon {
    /// Starts a daemon with validated settings.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`](crate::Error::Listen) when an address cannot be bound,
    /// [`Error::Component`](crate::Error::Component) when a component cannot start.
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

    /// Bound address of the listener for callers.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Bound address of the listener for links.
    #[must_use]
    pub fn links_address(&self) -> SocketAddr {
        self.node.links.local_addr()
    }

    /// Bound address of the listener for operators.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Whether the node is ready for requests: the initial reads of the configuration are done, the VM list
    /// is known, and the node is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Drains and stops the daemon.
    ///
    /// The node reports to the load balancer and the other nodes that it is leaving, stops accepting requests
    /// after the drain grace, and completes the requests in progress.
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

/// Incarnation of this process: the wall clock in milliseconds since the Unix epoch, so that a later start
/// has a greater number.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |span| span.as_millis());
    Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

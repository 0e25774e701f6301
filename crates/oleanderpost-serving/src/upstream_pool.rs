//! [`UpstreamPool`].

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::{
    net::TcpSocket,
    time::{Instant, timeout},
};

use crate::{Upstream, UpstreamId, client_connection::ClientConnection};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time limit for the connection that shows whether an upstream accepts any. Callers wait for it; within a region a
/// connection opens in a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time limit for an idle connection to become ready. It is ready at once unless the last request is still being written.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// How long an idle connection is kept if the upstream states no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Share of the keep-alive time stated by the upstream for which an idle connection is kept.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Maximum number of idle connections kept per upstream.
const MAX_IDLE: usize = 16;
/// Share of an upstream's connection limit that idle connections of all nodes together may use. The rest is
/// left for requests in progress and for connections that are being opened.
const IDLE_CONNECTION_SHARE: f64 = 0.5;

/// Connection to an upstream that is ready for a request.
pub(crate) struct UpstreamConnection {
    connection: ClientConnection<Full<Bytes>>,
    pub(crate) reused: bool,
    pub(crate) id: UpstreamId,
    address: SocketAddr,
}

impl UpstreamConnection {
    pub(crate) fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        &mut self.connection.sender
    }

    fn is_closed(&self) -> bool {
        self.connection.sender.is_closed()
    }
}

struct IdleConnection {
    connection: UpstreamConnection,
    expires_at: Instant,
}

/// Number of idle connections that each of `nodes` nodes may keep to one upstream, which accepts at most
/// `max_connections` connections from all nodes together.
#[must_use]
pub fn idle_connection_limit(max_connections: Option<u32>, nodes: usize) -> usize {
    let idle_limit = |max_connections: u32| {
        (f64::from(max_connections) * IDLE_CONNECTION_SHARE / nodes.max(1) as f64) as usize
    };
    max_connections.map_or(MAX_IDLE, |max_connections| {
        idle_limit(max_connections).min(MAX_IDLE)
    })
}

/// Pool of idle connections to upstreams.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>,
    /// Number of idle connections that may be kept, by upstream; [`MAX_IDLE`] for upstreams without an entry.
    idle_limits: Mutex<HashMap<UpstreamId, usize>>,
}

impl UpstreamPool {
    pub(crate) fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Takes an idle connection that the upstream has neither closed nor sent data on, or opens a new one.
    pub(crate) async fn acquire(&self, upstream: &Upstream) -> Result<UpstreamConnection, String> {
        while let Some(mut connection) = self.take_idle(upstream) {
            // Lets the connection's task process a close or data that has arrived since the last use.
            tokio::task::yield_now().await;
            // An upstream that has answered early may not have read the last request yet.
            let ready = timeout(READY_TIMEOUT, connection.sender().ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.reused = true;
                return Ok(connection);
            }
        }
        let connected = self.connect(upstream, CONNECT_TIMEOUT).await;
        connected.map_err(|e| e.to_string())
    }

    /// Opens a connection to see whether the upstream accepts any, and keeps it for later requests.
    pub(crate) async fn probe(&self, upstream: &Upstream) -> io::Result<()> {
        let connection = self.connect(upstream, PROBE_TIMEOUT).await?;
        self.release(connection, None);
        Ok(())
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub(crate) fn release(&self, connection: UpstreamConnection, keep_alive: Option<Duration>) {
        if connection.is_closed() {
            return;
        }
        let stated_timeout = keep_alive.map(|span| span.mul_f64(KEEP_ALIVE_SHARE));
        let expires_at = Instant::now()
            + stated_timeout
                .unwrap_or(DEFAULT_IDLE_TIMEOUT)
                .min(Duration::from_secs(30));
        let idle_limit = lock(&self.idle_limits).get(&connection.id).copied();
        let mut idle = lock(&self.idle);
        let entries = idle.entry(connection.id.clone()).or_default();
        entries.retain(|entry| entry.expires_at > Instant::now() && !entry.connection.is_closed());
        if entries.len() < idle_limit.unwrap_or(MAX_IDLE) {
            entries.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Sets the number of idle connections that may be kept, by upstream.
    ///
    /// Closes idle connections above the limit, those to upstreams without an entry, and those that have
    /// expired.
    pub(crate) fn set_idle_limits(&self, idle_limits: HashMap<UpstreamId, usize>) {
        lock(&self.idle).retain(|id, entries| {
            entries.retain(|entry| entry.expires_at > Instant::now());
            let idle_limit = idle_limits.get(id).copied().unwrap_or(0);
            // The first entries have been idle for the longest time.
            entries.drain(..entries.len().saturating_sub(idle_limit));
            !entries.is_empty()
        });
        *lock(&self.idle_limits) = idle_limits;
    }

    fn take_idle(&self, upstream: &Upstream) -> Option<UpstreamConnection> {
        let mut idle = lock(&self.idle);
        let entries = idle.get_mut(&upstream.id)?;
        while let Some(entry) = entries.pop() {
            let usable =
                entry.expires_at > Instant::now() && entry.connection.address == upstream.address;
            if usable && !entry.connection.is_closed() {
                return Some(entry.connection);
            }
        }
        None
    }

    async fn connect(
        &self,
        upstream: &Upstream,
        limit: Duration,
    ) -> io::Result<UpstreamConnection> {
        let connected = timeout(limit, connect(upstream.address)).await;
        let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "timed out while connecting");
        Ok(UpstreamConnection {
            connection: connected.map_err(timed_out)??,
            reused: false,
            id: upstream.id.clone(),
            address: upstream.address,
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn connect(address: SocketAddr) -> io::Result<ClientConnection<Full<Bytes>>> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_nodelay(true)?;
    let stream = socket.connect(address).await?;
    ClientConnection::new(stream)
        .await
        .map_err(io::Error::other)
}

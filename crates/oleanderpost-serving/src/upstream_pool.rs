//! [`UpstreamPool`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpSocket,
    time::{Instant, timeout},
};

use crate::{Upstream, UpstreamId};

/// Longest time for opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Idle time after which a connection is not used again, if the upstream states none.
const IDLE_DEFAULT: Duration = Duration::from_millis(2_500);
/// Share of the idle time that an upstream states within which a connection is used again.
const IDLE_SHARE: f64 = 0.6;
/// Most idle connections that are kept for one upstream.
const KEEP: usize = 16;
/// Part of the connections that an upstream takes from all nodes together which may be idle: the others are
/// for requests in progress and for those that are being opened.
const IDLE_PART: f64 = 0.5;

/// Connection to an upstream, ready for one request.
pub(crate) struct UpstreamConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) reused: bool,
    id: UpstreamId,
    address: SocketAddr,
}

struct Idle {
    connection: UpstreamConnection,
    until: Instant,
}

/// Idle connections that one of `nodes` nodes may keep to an upstream which takes `most` from all of them.
#[must_use]
pub fn idle_connection_limit(most: Option<u32>, nodes: usize) -> usize {
    let share = |most: u32| (f64::from(most) * IDLE_PART / nodes.max(1) as f64) as usize;
    most.map_or(KEEP, |most| share(most).min(KEEP))
}

/// Connections to upstreams, kept for further requests.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
    /// Idle connections that may be kept, where it is fewer than usual.
    shares: Mutex<HashMap<UpstreamId, usize>>,
}

impl UpstreamPool {
    pub(crate) fn new() -> Arc<Self> {
        Arc::default()
    }

    /// An idle connection that the upstream has neither closed nor written to, or a new one.
    pub(crate) async fn connection(&self, to: &Upstream) -> Result<UpstreamConnection, String> {
        while let Some(mut connection) = self.take_idle(to) {
            // Lets the connection's task see what has arrived meanwhile.
            tokio::task::yield_now().await;
            if connection.sender.ready().await.is_ok() {
                connection.reused = true;
                return Ok(connection);
            }
        }
        self.open(to).await
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, connection: UpstreamConnection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let stated = keep_alive.map(|span| span.mul_f64(IDLE_SHARE));
        let until = Instant::now() + stated.unwrap_or(IDLE_DEFAULT).min(Duration::from_secs(30));
        let share = lock(&self.shares).get(&connection.id).copied();
        let mut idle = lock(&self.idle);
        let of_upstream = idle.entry(connection.id.clone()).or_default();
        of_upstream
            .retain(|entry| entry.until > Instant::now() && !entry.connection.sender.is_closed());
        if of_upstream.len() < share.unwrap_or(KEEP) {
            of_upstream.push(Idle { connection, until });
        }
    }

    /// Sets the idle connections that may be kept, by upstream. Closes those beyond, those to upstreams that
    /// are not named, and those that were idle too long.
    pub(crate) fn set_shares(&self, shares: HashMap<UpstreamId, usize>) {
        lock(&self.idle).retain(|id, entries| {
            entries.retain(|entry| entry.until > Instant::now());
            let share = shares.get(id).copied().unwrap_or(0);
            // The first were idle for longest.
            entries.drain(..entries.len().saturating_sub(share));
            !entries.is_empty()
        });
        *lock(&self.shares) = shares;
    }

    fn take_idle(&self, to: &Upstream) -> Option<UpstreamConnection> {
        let mut idle = lock(&self.idle);
        let entries = idle.get_mut(&to.id)?;
        while let Some(entry) = entries.pop() {
            let usable = entry.until > Instant::now() && entry.connection.address == to.address;
            if usable && !entry.connection.sender.is_closed() {
                return Some(entry.connection);
            }
        }
        None
    }

    async fn open(&self, to: &Upstream) -> Result<UpstreamConnection, String> {
        let opened = timeout(CONNECT_LIMIT, open(to.address)).await;
        let sender = opened.map_err(|_| "no answer to the opening of a connection".to_owned())?;
        Ok(UpstreamConnection {
            sender: sender.map_err(|e| e.to_string())?,
            reused: false,
            id: to.id.clone(),
            address: to.address,
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn open(address: SocketAddr) -> std::io::Result<SendRequest<Full<Bytes>>> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_nodelay(true)?;
    let stream = socket.connect(address).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            spdlog::debug!("connection to upstream ended", kv: { address: = address, error: = e });
        }
    });
    Ok(sender)
}

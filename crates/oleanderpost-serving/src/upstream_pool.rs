//! [`UpstreamPool`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
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
/// Idle connections that are kept for one upstream.
const KEEP: usize = 16;

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

/// Connections to upstreams, kept for further requests.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
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
        let mut idle = self.lock();
        let of_upstream = idle.entry(connection.id.clone()).or_default();
        of_upstream
            .retain(|entry| entry.until > Instant::now() && !entry.connection.sender.is_closed());
        if of_upstream.len() < KEEP {
            of_upstream.push(Idle { connection, until });
        }
    }

    /// Closes the connections to upstreams that are no longer known, and those that were idle too long.
    pub(crate) fn retain(&self, known: impl Fn(&UpstreamId) -> bool) {
        let mut idle = self.lock();
        idle.retain(|id, entries| {
            entries.retain(|entry| entry.until > Instant::now());
            known(id) && !entries.is_empty()
        });
    }

    fn take_idle(&self, to: &Upstream) -> Option<UpstreamConnection> {
        let mut idle = self.lock();
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

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<UpstreamId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
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

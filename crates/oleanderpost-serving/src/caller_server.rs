//! [`CallerServer`].

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};

use crate::{CallerLimits, EntryContext, Error, RequestHandler, ResponseBody, Result};

/// Connections that the operating system holds ready before they are accepted.
const BACKLOG: u32 = 1_024;
/// Share of the descriptors that connections of callers may take.
const CALLER_SHARE: f64 = 0.6;
/// Longest time for which connections wait for the first configuration: half of what callers allow for a
/// new connection.
const START_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Least buffer for the head of a request that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;
/// Time that idle connections get beyond what callers may use, so that a request does not cross the close.
const IDLE_EXTRA: Duration = Duration::from_millis(500);

/// Listens for callers.
pub struct CallerServer {
    listener: TcpListener,
    entry: Arc<EntryContext>,
    reception: Arc<RequestHandler>,
    open: Arc<AtomicUsize>,
    most: usize,
}

impl CallerServer {
    /// Opens the listener.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the address can't be bound.
    pub fn open(address: SocketAddr, entry: Arc<EntryContext>, descriptors: usize) -> Result<Self> {
        let listener = bind(address).map_err(|source| Error::Listen { address, source })?;
        let most = (descriptors as f64 * CALLER_SHARE) as usize;
        Ok(Self {
            listener,
            reception: Arc::new(RequestHandler::new(Arc::clone(&entry))),
            entry,
            open: Arc::default(),
            most,
        })
    }

    /// Address that is bound.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the operating system does not tell it.
    pub fn address(&self) -> Result<SocketAddr> {
        local_address(&self.listener)
    }

    /// Accepts connections, for ever.
    ///
    /// Right after the start the operating system holds connections until the configuration is known: a
    /// refusal would cost callers a try for the sake of some milliseconds.
    pub async fn run(self) {
        let known = timeout(START_WAIT, self.entry.state.wait_for_config()).await;
        if known.is_err() {
            spdlog::warn!("serving without a configuration", kv: { waited_ms = START_WAIT.as_millis() as u64 });
        }
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) if self.open.load(Ordering::Relaxed) >= self.most => {
                    spdlog::warn!("connection refused: too many are open", kv: { open = self.most });
                    drop(stream);
                }
                Ok((stream, _)) => self.serve(stream),
                Err(e) => {
                    spdlog::warn!("accept failed", kv: { error: = e });
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let entry = Arc::clone(&self.entry);
        let reception = Arc::clone(&self.reception);
        let open = Arc::clone(&self.open);
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            serve_connection(stream, &entry, &reception).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    entry: &Arc<EntryContext>,
    reception: &Arc<RequestHandler>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::debug!("connection of caller is gone", kv: { error: = e });
        return;
    }
    let limits = entry.limits();
    let service = service_fn(|req| answer(Arc::clone(entry), Arc::clone(reception), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_EXTRA)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER) * 2)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = pin!(connection).await {
        spdlog::debug!("connection of caller ended", kv: { error: = e });
    }
}

async fn answer(
    entry: Arc<EntryContext>,
    reception: Arc<RequestHandler>,
    req: Request<Incoming>,
) -> std::result::Result<Response<ResponseBody>, Infallible> {
    let mut resp = reception.serve(req).await;
    if entry.is_draining() {
        resp.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(resp)
}

pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Address that a listener is bound to.
pub(crate) fn local_address(listener: &TcpListener) -> Result<SocketAddr> {
    let unbound = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| Error::Listen {
        address: unbound,
        source,
    })
}

impl EntryContext {
    fn limits(&self) -> CallerLimits {
        self.state
            .config()
            .map_or_else(CallerLimits::default, |deployment| {
                deployment.caller_limits()
            })
    }

    fn is_draining(&self) -> bool {
        self.state.active_drain().is_some()
    }
}

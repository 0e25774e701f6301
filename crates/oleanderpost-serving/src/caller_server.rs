//! [`CallerServer`].

use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    CallerLimits, EntryContext, Error, RequestHandler, ResponseBody, Result, Settings,
    caller_connections::CallerConnections, client_connection::READ_BUFFER_BYTES,
    memory_limits::MemoryLimits,
};

/// Number of connections that the operating system queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Share of the file descriptors that connections of callers may use.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.6;
/// How long new connections wait for the first configuration after the start: half of the time that callers
/// allow for opening a connection.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Delay before accepting again after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER: usize = 8 << 10;
/// Bytes of a request head beyond the limit on its header fields, for the request line.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// Time that an idle connection stays open beyond the limit for callers, so that no request is sent while the
/// connection is being closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// HTTP server for callers.
pub struct CallerServer {
    listener: TcpListener,
    entry: Arc<EntryContext>,
    handler: Arc<RequestHandler>,
    connections: Arc<CallerConnections>,
    /// Most connections for the descriptors of the node.
    max_connections: usize,
    /// Bytes for the buffers of connections.
    memory: usize,
}

impl CallerServer {
    /// Binds the listener to the address for callers. The descriptors and the memory of the node limit the connections.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the address can't be bound.
    pub fn bind(settings: &Settings, entry: Arc<EntryContext>) -> Result<Self> {
        let address = settings.callers_listen;
        let listener =
            bind_listener(address).map_err(|source| Error::Listen { address, source })?;
        let max_connections = (settings.descriptors as f64 * CALLER_DESCRIPTOR_SHARE) as usize;
        Ok(Self {
            listener,
            handler: Arc::new(RequestHandler::new(Arc::clone(&entry))),
            entry,
            connections: Arc::default(),
            max_connections,
            memory: MemoryLimits::new(settings.memory_mb).connections,
        })
    }

    /// Address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr> {
        local_address(&self.listener)
    }

    /// The open connections.
    pub(crate) fn connections(&self) -> &Arc<CallerConnections> {
        &self.connections
    }

    /// Accepts connections until these are to be closed.
    ///
    /// After the start, connections wait in the listen queue for a short time until the configuration is
    /// known. Rejecting them would cost callers a retry to save a few milliseconds.
    pub async fn run(self) {
        let config = timeout(CONFIG_WAIT, self.entry.state.wait_for_config()).await;
        if config.is_err() {
            spdlog::warn!("accepting connections without a configuration", kv: { waited_ms = CONFIG_WAIT.as_millis() as u64 });
        }
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.connections.closing() => return,
            };
            match accepted {
                Ok((stream, _)) if self.connections.open() >= self.max_connections() => {
                    spdlog::warn!("connection closed: too many open connections", kv: { open = self.connections.open() });
                    drop(stream);
                }
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(e) => {
                    spdlog::warn!("failed to accept a caller connection", kv: { error: = e });
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Most open connections. Each may take the memory of a request head, and of the read buffer of the connection on which
    /// the request is forwarded.
    fn max_connections(&self) -> usize {
        let bytes = head_buffer_bytes(self.entry.limits()) + READ_BUFFER_BYTES;
        self.max_connections.min(self.memory / bytes)
    }

    fn spawn_connection(&self, stream: TcpStream) {
        let entry = Arc::clone(&self.entry);
        let handler = Arc::clone(&self.handler);
        let connections = Arc::clone(&self.connections);
        let guard = connections.guard();
        tokio::spawn(async move {
            let _guard = guard;
            serve_connection(stream, &entry, &handler, &connections).await;
        });
    }
}

/// Size of the buffer for the head of a request, in bytes.
fn head_buffer_bytes(limits: CallerLimits) -> usize {
    limits.header_bytes.max(MIN_READ_BUFFER) + REQUEST_LINE_BYTES
}

async fn serve_connection(
    stream: TcpStream,
    entry: &Arc<EntryContext>,
    handler: &Arc<RequestHandler>,
    connections: &CallerConnections,
) {
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::debug!("failed to set TCP_NODELAY on a caller connection", kv: { error: = e });
        return;
    }
    let limits = entry.limits();
    let service = service_fn(|req| handle_request(Arc::clone(entry), Arc::clone(handler), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_TIMEOUT_MARGIN)
        .max_buf_size(head_buffer_bytes(limits))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = connections.closing() => {
            // A request that has arrived is still answered.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        spdlog::debug!("caller connection closed with an error", kv: { error: = e });
    }
}

async fn handle_request(
    entry: Arc<EntryContext>,
    handler: Arc<RequestHandler>,
    req: Request<Incoming>,
) -> std::result::Result<Response<ResponseBody>, Infallible> {
    let mut resp = handler.handle(req).await;
    if entry.is_draining() {
        resp.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(resp)
}

pub(crate) fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Address that `listener` is bound to.
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
            .map_or_else(CallerLimits::default, |config| config.caller_limits())
    }

    fn is_draining(&self) -> bool {
        self.state.active_drain().is_some()
    }
}

//! [`Listener`].

use std::{net::SocketAddr, time::Duration};

use salvo::{Router, Server, conn::tcp::TcpAcceptor, fuse::FuseConfig, server::ServerHandle};
use tokio::{net::TcpSocket, task::JoinHandle};

use crate::{Error, Result};

/// Timeout for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which a write to a caller may make no progress.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time without data while the body of a request is read.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of header fields of a request.
const MAX_HEADERS: usize = 64;
/// Size of the buffer for the head of a request, in bytes.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Length of the operating system's queue of connections that are not yet accepted.
const BACKLOG: u32 = 1_024;

/// HTTP listener with a server task.
pub(crate) struct Listener {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds the address and starts to serve the routes, on at most `max_connections` connections at a time.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the address cannot be bound.
    pub(crate) async fn open(
        name: &'static str,
        address: SocketAddr,
        max_connections: u64,
        router: Router,
    ) -> Result<Self> {
        let listen_error = |source| Error::Listen {
            listener: name,
            address,
            source,
        };
        let acceptor = bind(address).map_err(listen_error)?;
        let local = acceptor.local_addr().map_err(listen_error)?;
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(HEAD_TIMEOUT)
            .with_write_stall_timeout(WRITE_STALL_TIMEOUT)
            .with_request_body_timeout(BODY_READ_TIMEOUT);
        let max_connections = usize::try_from(max_connections).unwrap_or(usize::MAX);
        let mut server = Server::new(acceptor)
            .fuse_config(fuse)
            .max_connections(max_connections);
        server
            .http1_mut()
            .max_headers(MAX_HEADERS)
            .max_buf_size(HEAD_BUFFER_BYTES);
        let handle = server.handle();
        let task = tokio::spawn(async move {
            if let Err(e) = server.try_serve(router).await {
                spdlog::error!("HTTP listener failed", kv: { listener = name, error: = e });
            }
        });
        Ok(Self {
            address: local,
            handle,
            task,
        })
    }

    /// Bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until the requests in progress have ended.
    pub(crate) async fn close(self) {
        self.handle.stop_graceful(None);
        let _ = self.task.await;
    }
}

/// Binds a listener with `TCP_NODELAY`, which accepted connections inherit on Linux. With Nagle's algorithm,
/// a token would be delayed until the previous one is acknowledged.
fn bind(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.try_into()
}

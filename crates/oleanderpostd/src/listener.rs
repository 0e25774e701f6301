//! [`Listener`].

use std::{net::SocketAddr, time::Duration};

use salvo::{Router, Server, conn::tcp::TcpAcceptor, fuse::FuseConfig, server::ServerHandle};
use tokio::{net::TcpSocket, task::JoinHandle};

use crate::{Error, Result};

/// Longest time for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time in which a caller reads nothing of what is written to it.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest pause within the body of a request.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Most header lines of a request.
const MAX_HEADERS: usize = 64;
/// Memory for the head of a request, in bytes.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Connections that the operating system holds ready before they are accepted.
const BACKLOG: u32 = 1_024;

/// One HTTP listener of the daemon.
pub(crate) struct Listener {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Listener {
    /// Opens the listener and serves the routes.
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
                spdlog::error!("listener failed", kv: { listener = name, error: = e });
            }
        });
        Ok(Self {
            address: local,
            handle,
            task,
        })
    }

    /// Address that is bound.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets every request in progress end, and closes.
    pub(crate) async fn close(self) {
        self.handle.stop_graceful(None);
        let _ = self.task.await;
    }
}

/// Binds a listener whose connections send small writes at once: on Linux an accepted connection
/// inherits `TCP_NODELAY`, and with Nagle's algorithm a token would wait for the acknowledgement of
/// the one before.
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

//! [`TcpProxy`].

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, split},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{Error, FaultInjector, Result, fault_injecting_stream::FaultInjectingStream};

/// Size of the buffer of each direction, in bytes.
const BUF_LEN: usize = 16 * 1024;

/// A TCP proxy that can silence or reset its open connections, or delay their data.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    injector: FaultInjector,
    delay: Arc<AtomicU64>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl TcpProxy {
    /// Accepts connections on `listen` and forwards them to `target`.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`].
    pub async fn new(listen: SocketAddr, target: SocketAddr) -> Result<Self> {
        let failed = |source| Error::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let injector = FaultInjector::new();
        let delay = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let forwarder = Forwarder {
            target,
            injector: injector.clone(),
            delay: delay.clone(),
            stop: stop.clone(),
        };
        let task = tokio::spawn(forwarder.run(listener));
        Ok(Self {
            address,
            injector,
            delay,
            stop,
            task,
        })
    }

    /// Returns the address of the listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Permanently silences the currently open connections: they stay open, but no data passes.
    /// Later connections work.
    pub fn silence_connections(&self) {
        self.injector.silence_connections();
    }

    /// Resets the currently open connections.
    pub fn reset_connections(&self) {
        self.injector.reset_connections();
    }

    /// Sets whether new connections are reset at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.injector.set_refusing(refusing);
    }

    /// Delays each chunk of data, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay.store(millis, Ordering::Relaxed);
    }

    /// Closes all connections and stops listening.
    pub async fn close(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

#[derive(Clone)]
struct Forwarder {
    target: SocketAddr,
    injector: FaultInjector,
    delay: Arc<AtomicU64>,
    stop: CancellationToken,
}

impl Forwarder {
    async fn run(self, listener: TcpListener) {
        let stop = self.stop.clone();
        stop.run_until_cancelled(self.accept(listener)).await;
    }

    async fn accept(&self, listener: TcpListener) {
        while let Ok((inbound, _)) = listener.accept().await {
            let forwarder = self.clone();
            let stop = self.stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(forwarder.forward(inbound)).await });
        }
    }

    async fn forward(&self, inbound: TcpStream) {
        let Ok(outbound) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = inbound.set_nodelay(true);
        let _ = outbound.set_nodelay(true);
        let inbound = FaultInjectingStream::new(inbound, self.injector.add_connection());
        let (inbound_read, inbound_write) = split(inbound);
        let (outbound_read, outbound_write) = split(outbound);
        tokio::select! {
            () = self.copy(inbound_read, outbound_write) => {}
            () = self.copy(outbound_read, inbound_write) => {}
        }
    }

    async fn copy(&self, mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
        let mut buf = vec![0; BUF_LEN];
        while let Ok(len) = from.read(&mut buf).await {
            if len == 0 {
                return;
            }
            let delay = self.delay.load(Ordering::Relaxed);
            if delay > 0 {
                sleep(Duration::from_millis(delay)).await;
            }
            if to.write_all(&buf[..len]).await.is_err() {
                return;
            }
        }
    }
}

//! TCP proxy between two nodes that can delay, record and drop bytes and refuse connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    time::sleep,
};

/// Faults of one connection.
#[derive(Default)]
struct ProxiedConnection {
    drop_to_target: AtomicBool,
    drop_to_dialler: AtomicBool,
}

#[derive(Default)]
struct Shared {
    connections: Mutex<Vec<Arc<ProxiedConnection>>>,
    refuse_new: AtomicBool,
    sent_bytes: Mutex<Vec<Vec<u8>>>,
    received_bytes: AtomicU64,
}

/// Forwards connections to one address.
pub struct TcpProxy {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl TcpProxy {
    /// Listens on loopback and forwards to `to`, with a wait of `delay` before each block of up to 16 KiB.
    pub async fn open(to: SocketAddr, delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        tokio::spawn(accept(listener, to, delay, shared.clone()));
        Self { addr, shared }
    }

    /// Starts or stops dropping the bytes of all open connections, by direction; new connections are not
    /// affected.
    pub fn drop_bytes(&self, to_target: bool, to_dialler: bool) {
        for connection in self.shared.connections.lock().unwrap().iter() {
            connection
                .drop_to_target
                .store(to_target, Ordering::Relaxed);
            connection
                .drop_to_dialler
                .store(to_dialler, Ordering::Relaxed);
        }
    }

    /// Sets whether new connections are closed at once.
    pub fn refuse_new(&self, refused: bool) {
        self.shared.refuse_new.store(refused, Ordering::Relaxed);
    }

    /// Number of bytes that came back on all connections.
    pub fn received_bytes(&self) -> u64 {
        self.shared.received_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that the dialling side sent on each connection.
    pub fn sent_bytes(&self) -> Vec<Vec<u8>> {
        self.shared.sent_bytes.lock().unwrap().clone()
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, delay: Duration, shared: Arc<Shared>) {
    loop {
        let (dialler, _) = listener.accept().await.unwrap();
        if shared.refuse_new.load(Ordering::Relaxed) {
            continue;
        }
        let target = TcpStream::connect(to).await.unwrap();
        let connection = Arc::new(ProxiedConnection::default());
        shared.connections.lock().unwrap().push(connection.clone());
        let number = shared.sent_bytes.lock().unwrap().len();
        shared.sent_bytes.lock().unwrap().push(Vec::new());
        let (dialler_rx, dialler_tx) = dialler.into_split();
        let (target_rx, target_tx) = target.into_split();
        let (to_target, to_dialler) = (connection.clone(), connection);
        let recording = shared.clone();
        tokio::spawn(forward(dialler_rx, target_tx, delay, move |buf| {
            recording.sent_bytes.lock().unwrap()[number].extend_from_slice(buf);
            to_target.drop_to_target.load(Ordering::Relaxed)
        }));
        let counting = shared.clone();
        tokio::spawn(forward(target_rx, dialler_tx, delay, move |buf| {
            counting
                .received_bytes
                .fetch_add(buf.len() as u64, Ordering::Relaxed);
            to_dialler.drop_to_dialler.load(Ordering::Relaxed)
        }));
    }
}

async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    delay: Duration,
    should_drop: impl Fn(&[u8]) -> bool,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let n = rx.read(&mut buf).await.unwrap_or(0);
        if n == 0 {
            return;
        }
        if should_drop(&buf[..n]) {
            continue;
        }
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

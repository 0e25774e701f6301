//! [`UpstreamReach`].

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use rand::seq::{IteratorRandom, SliceRandom};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::NodeState;

/// Number of upstreams that a check connects to.
const CHECKED_UPSTREAMS: usize = 3;
/// Number of others that it connects to if all of these refuse the connection: their processes may be gone.
const CONFIRMING_UPSTREAMS: usize = 16;
/// Timeout of these connections; within a region they open in a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between looks at the time of the last response, and between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time without any response, while requests wait for one, after which the paths are checked. Streams in progress
/// have events several times as often.
const MAX_SILENCE: Duration = Duration::from_millis(400);

/// Whether this node reaches any upstream.
///
/// A failed connection says little about the upstream if the node can't open one to any other either.
pub(crate) struct UpstreamReach {
    is_lost: AtomicBool,
    /// Number of requests that wait for a response.
    waiting: AtomicUsize,
    last_response: Mutex<Instant>,
    last_check: tokio::sync::Mutex<Option<Instant>>,
}

/// Counts a request as waiting for a response until it is dropped.
pub(crate) struct WaitingGuard<'a>(&'a UpstreamReach);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl UpstreamReach {
    pub(crate) fn new() -> Self {
        Self {
            is_lost: AtomicBool::new(false),
            waiting: AtomicUsize::new(0),
            last_response: Mutex::new(Instant::now()),
            last_check: tokio::sync::Mutex::new(None),
        }
    }

    /// Whether the node has lost the paths to all upstreams.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Records that a request waits for a response.
    pub(crate) fn wait(&self) -> WaitingGuard<'_> {
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.note_response();
        }
        WaitingGuard(self)
    }

    /// Records that an upstream has sent a response or an event.
    pub(crate) fn note_response(&self) {
        *self.lock() = Instant::now();
    }

    /// Checks whether the node reaches any upstream, unless that was checked just now; returns whether it has lost
    /// all of them.
    pub(crate) async fn check(&self, state: &NodeState) -> bool {
        let mut last_check = self.last_check.lock().await;
        if last_check.is_some_and(|at| at.elapsed() < CHECK_INTERVAL) {
            return self.is_lost();
        }
        let is_lost = is_unreachable(&sample_addresses(state)).await;
        *last_check = Some(Instant::now());
        if self.is_lost.swap(is_lost, Ordering::Relaxed) != is_lost {
            if is_lost {
                spdlog::warn!("no path to any upstream; relaying requests to peers", kv: { checked = CHECKED_UPSTREAMS });
            } else {
                spdlog::info!("paths to upstreams are back", kv: { checked = CHECKED_UPSTREAMS });
            }
        }
        is_lost
    }

    /// Checks the paths while they are lost, and when no upstream responds; never returns.
    pub(crate) async fn run(&self, state: &NodeState) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let is_waiting = self.waiting.load(Ordering::Relaxed) > 0;
            let is_silent = is_waiting && self.lock().elapsed() > MAX_SILENCE;
            if self.is_lost() || is_silent {
                self.check(state).await;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Instant> {
        self.last_response
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Addresses of some upstreams in random order; empty if too few are known to tell the node's fault from theirs.
fn sample_addresses(state: &NodeState) -> Vec<SocketAddr> {
    let directory = state.directory();
    let usable = directory.ids().filter(|id| directory.is_usable(id));
    let addresses = usable.filter_map(|id| Some(directory.get(id)?.address));
    let rng = &mut rand::rng();
    let mut sample = addresses.sample(rng, CHECKED_UPSTREAMS + CONFIRMING_UPSTREAMS);
    if sample.len() < CHECKED_UPSTREAMS {
        return Vec::new();
    }
    sample.shuffle(rng);
    sample
}

/// Whether no connection to any of the addresses can be opened; not if there are none.
async fn is_unreachable(addresses: &[SocketAddr]) -> bool {
    let (first, others) = addresses.split_at(CHECKED_UPSTREAMS.min(addresses.len()));
    match connect_any(first).await {
        PathCheck::Reached => false,
        PathCheck::Silent => true,
        PathCheck::Refused => others.is_empty() || connect_any(others).await != PathCheck::Reached,
    }
}

/// Result of attempts to connect to several addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PathCheck {
    /// A connection was opened, or there was no address.
    Reached,
    /// All connections were refused.
    Refused,
    /// No connection was opened, and not all were refused.
    Silent,
}

async fn connect_any(addresses: &[SocketAddr]) -> PathCheck {
    let mut connects = JoinSet::new();
    for address in addresses {
        connects.spawn(timeout(CHECK_TIMEOUT, TcpStream::connect(*address)));
    }
    let mut refused = 0;
    while let Some(connected) = connects.join_next().await {
        match connected {
            Ok(Ok(Ok(_))) => return PathCheck::Reached,
            Ok(Ok(Err(e))) if e.kind() == ErrorKind::ConnectionRefused => refused += 1,
            _ => {}
        }
    }
    match addresses.len() {
        0 => PathCheck::Reached,
        n if n == refused => PathCheck::Refused,
        _ => PathCheck::Silent,
    }
}

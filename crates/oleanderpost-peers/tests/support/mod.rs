//! Helpers shared by the tests and examples of this crate.
#![allow(dead_code, unreachable_pub)]

pub mod fleet;
pub mod fuzz;
pub mod raw_peer;
pub mod tcp_proxy;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use oleanderpost_peers::{
    AddressBook, Handler, LinkLimits, LinkTimings, Links, LinksBuilder, MessageKind, Result,
    SharedKey,
};
use oleanderpost_types::{DataCentre, Incarnation, VmId};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Longer than any operation of these tests takes.
pub const LONG: Duration = Duration::from_secs(60);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Msg {
    Echo(String),
    Slow { millis: u64 },
    SlowText { millis: u64, text: String },
    Silent,
    Big(#[serde(with = "byte_string")] Vec<u8>),
    Note(u64),
    Counted(u64, String),
}

mod byte_string {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(buf: &[u8], s: S) -> Result<S::Ok, S::Error> {
        bytes::Bytes::copy_from_slice(buf).serialize(s)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        bytes::Bytes::deserialize(d).map(Vec::from)
    }
}

impl MessageKind for Msg {
    fn kind(&self) -> &'static str {
        match self {
            Self::Echo(_) => "echo",
            Self::Slow { .. } | Self::SlowText { .. } => "slow",
            Self::Silent => "silent",
            Self::Big(_) => "big",
            Self::Note(_) => "note",
            Self::Counted(..) => "counted",
        }
    }
}

#[derive(Default)]
pub struct EchoHandler {
    pub handled: AtomicU64,
    pub notes: Mutex<Vec<u64>>,
}

#[async_trait::async_trait]
impl Handler<Msg> for EchoHandler {
    async fn handle(&self, _from: &VmId, msg: Msg) -> Option<Msg> {
        self.handled.fetch_add(1, Ordering::Relaxed);
        match msg {
            Msg::Slow { millis } | Msg::SlowText { millis, .. } => {
                sleep(Duration::from_millis(millis)).await
            }
            Msg::Silent => return None,
            Msg::Note(n) | Msg::Counted(n, _) => self.notes.lock().unwrap().push(n),
            _ => {}
        }
        Some(msg)
    }
}

/// An address book that tests can change.
#[derive(Default)]
pub struct TestAddressBook(pub Mutex<HashMap<VmId, SocketAddr>>);

impl AddressBook for TestAddressBook {
    fn address(&self, peer: &VmId) -> Option<SocketAddr> {
        self.0.lock().unwrap().get(peer).copied()
    }
}

impl TestAddressBook {
    pub fn set(&self, vm: &VmId, addr: SocketAddr) {
        self.0.lock().unwrap().insert(vm.clone(), addr);
    }
}

pub fn vm(name: &str) -> VmId {
    VmId::new(name).unwrap()
}

pub fn key() -> SharedKey {
    SharedKey::new(b"a key for the tests of links").unwrap()
}

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Short timings, so that tests of silent connections end soon. As in the defaults, `ping_after` is shorter
/// than `verify_after`, and that is shorter than `idle_timeout`.
pub fn short_timings() -> LinkTimings {
    LinkTimings {
        open_timeout: Duration::from_millis(2_000),
        ping_after: Duration::from_millis(100),
        pong_timeout: Duration::from_millis(1_000),
        verify_after: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(30),
        drain_timeout: LONG,
        backoff_min: Duration::from_millis(10),
        backoff_max: Duration::from_millis(50),
    }
}

pub struct Node {
    pub vm: VmId,
    pub address_book: Arc<TestAddressBook>,
    pub handler: Arc<EchoHandler>,
    pub links: Links<Msg>,
}

pub struct NodeBuilder {
    pub name: String,
    pub incarnation: u64,
    pub key: SharedKey,
    pub timings: LinkTimings,
    pub limits: LinkLimits,
    pub listen: SocketAddr,
}

impl NodeBuilder {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            incarnation: 1,
            key: key(),
            timings: short_timings(),
            limits: LinkLimits::default(),
            listen: loopback(),
        }
    }

    pub async fn open(self) -> Node {
        self.try_open().await.unwrap()
    }

    pub async fn try_open(self) -> Result<Node> {
        let address_book = Arc::new(TestAddressBook::default());
        let handler = Arc::new(EchoHandler::default());
        let vm = vm(&self.name);
        let seed = self.name.bytes().map(u64::from).sum::<u64>() + self.incarnation;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let dc = DataCentre::new("dc-a").unwrap();
        let builder = LinksBuilder::new(
            vm.clone(),
            Incarnation::new(self.incarnation),
            dc,
            self.key,
            self.listen,
            rng,
        );
        let links = builder
            .with_address_book(address_book.clone())
            .with_timings(self.timings)
            .with_limits(self.limits)
            .open(handler.clone())
            .await?;
        Ok(Node {
            vm,
            address_book,
            handler,
            links,
        })
    }
}

impl Node {
    pub fn add_address_of(&self, other: &Self) {
        self.address_book.set(&other.vm, other.links.local_addr());
    }

    pub async fn echo(&self, other: &VmId, text: &str) -> Result<Msg> {
        self.links
            .request(other, Msg::Echo(text.to_owned()), LONG)
            .await
    }

    pub async fn close(self) {
        self.links.close(LONG).await;
    }
}

/// Two nodes that have each other's addresses.
pub async fn pair() -> (Node, Node) {
    let a = NodeBuilder::new("a").open().await;
    let b = NodeBuilder::new("b").open().await;
    a.add_address_of(&b);
    b.add_address_of(&a);
    (a, b)
}

/// Waits until `done` holds, without a time limit of its own: otherwise the test hangs until the limit of the
/// test runner.
pub async fn until(done: impl Fn() -> bool) {
    while !done() {
        sleep(Duration::from_millis(2)).await;
    }
}

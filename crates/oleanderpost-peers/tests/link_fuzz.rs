//! Stateful fuzzing of links over loopback, and of listeners with invalid bytes.
//!
//! `OLEANDERPOST_FUZZ_SEEDS=first:count` replaces the fixed seeds.

mod support;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bolero::TypeGenerator;
use ciborium::{Value, cbor};
use futures_util::SinkExt;
use oleanderpost_peers::{Error, LinkTimings, Result};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{LONG, Msg, Node, NodeBuilder, fuzz, raw_peer::RawPeer, tcp_proxy::TcpProxy, vm};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_tungstenite::tungstenite::Message;

const OPERATIONS: usize = 40;
/// Fails a run that hangs; requests of these tests take far less.
const HANG_LIMIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug, TypeGenerator)]
enum Operation {
    Request,
    Requests(u8),
    Large(u16),
    ShortLimit(u8),
    DropBytes(bool, bool),
    RefuseNew(bool),
    Restart,
    Wait(u8),
}

struct SentRequest {
    id: u64,
    result: JoinHandle<Result<Msg>>,
}

/// Timings short enough that connections are often pinged, closed as idle and closed as silent.
fn very_short_timings() -> LinkTimings {
    LinkTimings {
        open_timeout: Duration::from_millis(300),
        ping_after: Duration::from_millis(20),
        pong_timeout: Duration::from_millis(100),
        verify_after: Duration::from_millis(30),
        idle_timeout: Duration::from_millis(40),
        drain_timeout: LONG,
        backoff_min: Duration::from_millis(2),
        backoff_max: Duration::from_millis(10),
    }
}

async fn node(name: &str, incarnation: u64) -> Node {
    let mut builder = NodeBuilder::new(name);
    builder.incarnation = incarnation;
    builder.timings = very_short_timings();
    builder.open().await
}

struct FuzzRun {
    a: Node,
    b: Node,
    proxy: TcpProxy,
    incarnation: u64,
    last_id: u64,
    sent: Vec<SentRequest>,
    handled: HashMap<u64, usize>,
}

impl FuzzRun {
    async fn new() -> Self {
        let (a, b) = (node("a", 1).await, node("b", 1).await);
        let proxy = TcpProxy::open(b.links.local_addr(), Duration::ZERO).await;
        a.address_book.set(&b.vm, proxy.addr);
        Self {
            a,
            b,
            proxy,
            incarnation: 1,
            last_id: 0,
            sent: Vec::new(),
            handled: HashMap::new(),
        }
    }

    fn request(&mut self, padding: usize, limit: Duration) {
        self.last_id += 1;
        let id = self.last_id;
        let msg = Msg::Counted(id, "x".repeat(padding));
        let (links, to) = (self.a.links.clone(), self.b.vm.clone());
        let result = tokio::spawn(async move { links.request(&to, msg, limit).await });
        self.sent.push(SentRequest { id, result });
    }

    async fn apply(&mut self, operation: &Operation) {
        match *operation {
            Operation::Request => self.request(10, LONG),
            Operation::Requests(n) => (0..n % 16).for_each(|_| self.request(100, LONG)),
            Operation::Large(n) => self.request(usize::from(n) * 8, LONG),
            Operation::ShortLimit(n) => self.request(10, Duration::from_millis(u64::from(n % 40))),
            Operation::DropBytes(to_peer, from_peer) => self.proxy.drop_bytes(to_peer, from_peer),
            Operation::RefuseNew(refuse) => self.proxy.refuse_new(refuse),
            Operation::Restart => self.restart().await,
            Operation::Wait(n) => sleep(Duration::from_millis(u64::from(n % 64))).await,
        }
        tokio::task::yield_now().await;
    }

    async fn restart(&mut self) {
        self.incarnation += 1;
        let newer = node("b", self.incarnation).await;
        let proxy = TcpProxy::open(newer.links.local_addr(), Duration::ZERO).await;
        self.a.address_book.set(&newer.vm, proxy.addr);
        let older = std::mem::replace(&mut self.b, newer);
        self.proxy = proxy;
        let handler = older.handler.clone();
        older.links.close(Duration::from_millis(50)).await;
        self.count(&handler.notes);
    }

    fn count(&mut self, notes: &Mutex<Vec<u64>>) {
        for id in notes.lock().unwrap().drain(..) {
            *self.handled.entry(id).or_default() += 1;
        }
    }

    async fn check(mut self) -> (usize, usize) {
        let (mut succeeded, mut failed) = (0, 0);
        let mut results = Vec::new();
        for sent in std::mem::take(&mut self.sent) {
            let result = timeout(HANG_LIMIT, sent.result).await;
            results.push((sent.id, result.expect("each request ends").unwrap()));
        }
        let handler = self.b.handler.clone();
        self.count(&handler.notes);
        for (id, result) in results {
            let handled = self.handled.get(&id).copied().unwrap_or(0);
            assert!(handled <= 1, "{id} was handled {handled} times");
            match result {
                Ok(Msg::Counted(answered, _)) => {
                    assert_eq!(
                        (answered, handled),
                        (id, 1),
                        "the answer is that of the request"
                    );
                    succeeded += 1;
                }
                Ok(other) => panic!("{id}: {other:?}"),
                Err(e) => {
                    assert!(
                        handled == 0 || e.maybe_handled(),
                        "{id} was handled, but: {e}"
                    );
                    failed += 1;
                }
            }
        }
        (succeeded, failed)
    }
}

#[tokio::test]
async fn requests_are_handled_at_most_once_and_errors_report_possible_handling() {
    let (mut succeeded, mut failed) = (0, 0);
    for seed in fuzz::seeds_or(1..9) {
        println!("seed {seed}");
        let mut run = FuzzRun::new().await;
        for operation in fuzz::generate_operations::<Operation>(seed, OPERATIONS) {
            run.apply(&operation).await;
        }
        let results = run.check().await;
        succeeded += results.0;
        failed += results.1;
    }
    println!("{succeeded} succeeded, {failed} failed");
    assert!(succeeded > 0 && failed > 0);
}

/// Installs a panic hook that counts the panics of all threads.
fn count_panics() -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let hook = std::panic::take_hook();
    let panics = count.clone();
    std::panic::set_hook(Box::new(move |info| {
        panics.fetch_add(1, Ordering::Relaxed);
        hook(info);
    }));
    count
}

fn random_bytes(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = vec![0; rng.random_range(0..200)];
    rng.fill_bytes(&mut bytes);
    bytes
}

fn random_frame(rng: &mut ChaCha8Rng) -> Value {
    let body = Value::Bytes(random_bytes(rng));
    let kind: u64 = rng.random_range(0..12);
    let id: u64 = rng.random_range(0..4);
    let is_last_chunk: bool = rng.random();
    cbor!({ "k" => kind, "i" => id, "t" => is_last_chunk, "b" => body }).unwrap()
}

#[tokio::test]
async fn invalid_bytes_do_not_affect_other_peers() {
    let panics = count_panics();
    let (a, b) = (node("a", 1).await, node("b", 1).await);
    b.add_address_of(&a);
    for seed in fuzz::seeds_or(1..41) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut raw = if rng.random() {
            RawPeer::connect(a.links.local_addr()).await
        } else {
            RawPeer::open(a.links.local_addr(), "c").await
        };
        for _ in 0..rng.random_range(1..20) {
            let buf = if rng.random() {
                random_bytes(&mut rng)
            } else {
                raw.encode(&random_frame(&mut rng))
            };
            if raw.0.send(Message::binary(buf)).await.is_err() {
                break;
            }
        }
        let answer = b.links.request(&a.vm, Msg::Note(seed), LONG).await;
        assert!(
            !matches!(answer, Err(Error::Unreachable { .. })),
            "{answer:?}"
        );
    }
    assert_eq!(panics.load(Ordering::Relaxed), 0);
    assert!(
        a.links
            .peers()
            .iter()
            .all(|peer| peer.vm == b.vm || peer.vm == vm("c"))
    );
}

//! Measures links over loopback: latency, throughput, CPU time, memory, and the cost of opening and pings.
//!
//! Both ends run in this process; CPU time and memory are those of both ends together.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use oleanderpost_peers::LinkLimits;
use support::{LONG, Msg, Node, NodeBuilder, tcp_proxy::TcpProxy};
use tokio::time::sleep;

const REQUEST_BYTES: usize = 100;
/// Clock ticks per second in /proc/self/stat.
const TICKS_PER_SECOND: f64 = 100.0;

fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn print_latency(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{name}: p50 {:?} p99 {:?} max {:?} of {}",
        at(0.5),
        at(0.99),
        at(1.0),
        times.len()
    );
}

async fn pair(limits: LinkLimits) -> (Node, Node) {
    let (mut first, mut second) = (NodeBuilder::new("a"), NodeBuilder::new("b"));
    for builder in [&mut first, &mut second] {
        builder.limits = limits;
        builder.timings = oleanderpost_peers::LinkTimings::default();
    }
    let (a, b) = (first.open().await, second.open().await);
    a.add_address_of(&b);
    (a, b)
}

async fn latency(a: &Node, b: &Node, count: usize) -> Vec<Duration> {
    let text = "x".repeat(REQUEST_BYTES);
    let mut times = Vec::with_capacity(count);
    for _ in 0..count {
        let started = Instant::now();
        a.echo(&b.vm, &text).await.unwrap();
        times.push(started.elapsed());
    }
    times
}

async fn throughput(a: &Node, b: &Node, concurrency: usize, requests_per_task: usize) {
    let (cpu, started) = (cpu_seconds(), Instant::now());
    let tasks: Vec<_> = (0..concurrency)
        .map(|_| {
            let (links, to) = (a.links.clone(), b.vm.clone());
            tokio::spawn(async move {
                let text = "x".repeat(REQUEST_BYTES);
                for _ in 0..requests_per_task {
                    links
                        .request(&to, Msg::Echo(text.clone()), LONG)
                        .await
                        .unwrap();
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    let (count, seconds) = (
        (concurrency * requests_per_task) as f64,
        started.elapsed().as_secs_f64(),
    );
    let cpu = cpu_seconds() - cpu;
    println!(
        "requests, {concurrency} concurrent: {:.0}/s, {:.1} us of CPU time each (both ends)",
        count / seconds,
        cpu / count * 1e6
    );
    let counters = a.links.counters();
    println!(
        "bytes of one request of {REQUEST_BYTES} bytes: {:.0} sent, {:.0} received",
        counters.bytes_out as f64 / counters.frames_out as f64,
        counters.bytes_in as f64 / counters.frames_in as f64
    );
}

/// Latency of small requests during transfers of large messages, through a proxy that forwards up to 16 KiB
/// per `delay`.
async fn latency_during_large_transfers(chunk_bytes: usize, delay: Duration, name: &str) {
    let limits = LinkLimits {
        chunk_bytes,
        ..LinkLimits::default()
    };
    let (a, b) = pair(limits).await;
    let proxy = TcpProxy::open(b.links.local_addr(), delay).await;
    a.address_book.set(&b.vm, proxy.addr);
    let (links, to) = (a.links.clone(), b.vm.clone());
    let large = tokio::spawn(async move {
        let mut sent = 0_u64;
        loop {
            links
                .request(&to, Msg::Big(vec![0; 1 << 20]), LONG)
                .await
                .unwrap();
            sent += 1;
            if sent == u64::MAX {
                return;
            }
        }
    });
    sleep(Duration::from_millis(200)).await;
    print_latency(name, latency(&a, &b, 50).await);
    large.abort();
}

async fn measure_many_links(count: usize) {
    let hub = NodeBuilder::new("hub");
    let hub = NodeBuilder {
        timings: oleanderpost_peers::LinkTimings::default(),
        ..hub
    }
    .open()
    .await;
    let mut peers = Vec::new();
    for n in 0..count {
        let mut builder = NodeBuilder::new(&format!("p{n}"));
        builder.timings = oleanderpost_peers::LinkTimings::default();
        let peer = builder.open().await;
        hub.add_address_of(&peer);
        peers.push(peer);
    }
    let (memory, cpu) = (resident_kib(), cpu_seconds());
    for peer in &peers {
        hub.echo(&peer.vm, "open").await.unwrap();
    }
    let opened = cpu_seconds() - cpu;
    println!(
        "{count} links: {:.1} KiB resident and {:.0} us of CPU time to open each (both ends)",
        (resident_kib() - memory) as f64 / count as f64,
        opened / count as f64 * 1e6
    );
    let (cpu, before) = (cpu_seconds(), hub.links.counters());
    sleep(Duration::from_secs(10)).await;
    let idle = cpu_seconds() - cpu;
    let after = hub.links.counters();
    println!(
        "{count} open links without traffic: {} frames, {:.2} s of CPU time in 10 s",
        after.frames_out - before.frames_out,
        idle
    );
    let waits: Vec<_> = peers
        .iter()
        .map(|peer| {
            let (links, to) = (hub.links.clone(), peer.vm.clone());
            tokio::spawn(async move {
                links
                    .request(&to, Msg::Slow { millis: 10_000 }, LONG)
                    .await
                    .unwrap()
            })
        })
        .collect();
    let (cpu, before) = (cpu_seconds(), hub.links.counters());
    for wait in waits {
        wait.await.unwrap();
    }
    let after = hub.links.counters();
    let pings = after.pings - before.pings;
    println!(
        "{pings} pings with their pongs: {:.1} us of CPU time each (both ends), {:.1} bytes sent and {:.1} received each",
        (cpu_seconds() - cpu) / pings as f64 * 1e6,
        (after.bytes_out - before.bytes_out) as f64 / pings as f64,
        (after.bytes_in - before.bytes_in) as f64 / pings as f64,
    );
}

async fn measure_opening_bytes() {
    let (a, b) = pair(LinkLimits::default()).await;
    let proxy = TcpProxy::open(b.links.local_addr(), Duration::ZERO).await;
    a.address_book.set(&b.vm, proxy.addr);
    a.echo(&b.vm, "open").await.unwrap();
    let counters = a.links.counters();
    println!(
        "opening a link: {} bytes sent and {} received, without TCP and IP headers",
        proxy.sent_bytes()[0].len() as u64 - counters.bytes_out,
        proxy.received_bytes() - counters.bytes_in
    );
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    measure_many_links(200).await;
    let (a, b) = pair(LinkLimits::default()).await;
    latency(&a, &b, 1_000).await;
    print_latency("request, sequential", latency(&a, &b, 20_000).await);
    throughput(&a, &b, 64, 2_000).await;
    let chunk_bytes = LinkLimits::default().chunk_bytes;
    let delay = Duration::from_millis(2);
    latency_during_large_transfers(
        chunk_bytes,
        delay,
        "small requests during 1 MiB messages at 16 KiB per 2 ms, in chunks",
    )
    .await;
    latency_during_large_transfers(
        2 << 20,
        delay,
        "small requests during 1 MiB messages at 16 KiB per 2 ms, whole",
    )
    .await;
    measure_opening_bytes().await;
}

//! Measures the cost of rosters per node: messages and CBOR bytes by kind, reads of the platform, and the
//! time until changes reach all nodes.
//!
//! Many rosters run in one process under paused time; the CPU time is that of the whole simulation.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    collections::BTreeMap,
    sync::atomic::Ordering,
    time::{Duration, Instant as WallInstant},
};

use oleanderpost_peers::{Reachability, RosterTimings};
use support::fleet::{Fleet, Traffic, entry, upstream};
use tokio::time::{Instant, sleep};

const IDLE_PERIOD: Duration = Duration::from_secs(300);
const LIMIT: Duration = Duration::from_secs(120);
const CHANGES: u32 = 20;

fn take_traffic(fleet: &Fleet) -> BTreeMap<&'static str, Traffic> {
    std::mem::take(&mut fleet.network.traffic.lock().unwrap())
}

fn total(traffic: &BTreeMap<&'static str, Traffic>) -> Traffic {
    traffic
        .values()
        .fold(Traffic::default(), |sum, kind| Traffic {
            messages: sum.messages + kind.messages,
            bytes: sum.bytes + kind.bytes,
        })
}

fn per_node(count: u64, nodes: usize, times: f64) -> f64 {
    count as f64 / nodes as f64 / times
}

/// Time until each node holds the newest list.
async fn times_to_converge(fleet: &Fleet) -> Vec<Duration> {
    let from = Instant::now();
    let newest = fleet.platform.newest().revision;
    let mut took = vec![None; fleet.members.len()];
    while took.iter().any(Option::is_none) && from.elapsed() < LIMIT {
        for (took, member) in took.iter_mut().zip(&fleet.members) {
            if took.is_none() && member.roster.view().revision == newest {
                *took = Some(from.elapsed());
            }
        }
        sleep(Duration::from_millis(1)).await;
    }
    took.into_iter().map(|took| took.unwrap_or(LIMIT)).collect()
}

fn quantiles(mut times: Vec<Duration>) -> String {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    format!("p50 {:?} p99 {:?} max {:?}", at(0.5), at(0.99), at(1.0))
}

async fn measure_idle(fleet: &Fleet, nodes: usize) {
    take_traffic(fleet);
    let reads = fleet.platform.reads.load(Ordering::Relaxed);
    let wall = WallInstant::now();
    sleep(IDLE_PERIOD).await;
    let wall = wall.elapsed();
    let seconds = IDLE_PERIOD.as_secs_f64();
    let traffic = take_traffic(fleet);
    let sum = total(&traffic);
    let reads = fleet.platform.reads.load(Ordering::Relaxed) - reads;
    println!(
        "  idle: {:.2} messages/s and {:.1} bytes/s sent per node; {:.2} reads/s in total; {:.1} us of CPU time per node and second",
        per_node(sum.messages, nodes, seconds),
        per_node(sum.bytes, nodes, seconds),
        reads as f64 / seconds,
        wall.as_secs_f64() * 1e6 / nodes as f64 / seconds,
    );
    for (kind, traffic) in traffic {
        let mean = traffic.bytes as f64 / traffic.messages as f64;
        println!(
            "    {kind}: {:.3} messages/s of {mean:.0} bytes",
            per_node(traffic.messages, nodes, seconds)
        );
    }
    let ages = fleet
        .members
        .iter()
        .filter_map(|m| m.roster.view().as_of.map(|at| at.elapsed()));
    println!("  age of the list: {}", quantiles(ages.collect()));
}

async fn measure_changes(fleet: &Fleet, nodes: usize) {
    take_traffic(fleet);
    let mut times = Vec::new();
    for n in 0..CHANGES {
        fleet
            .platform
            .publish(1, |vms| vms.push(upstream(5_000 + n as usize)));
        times.extend(times_to_converge(fleet).await);
    }
    let sum = total(&take_traffic(fleet));
    let per_change = f64::from(CHANGES);
    println!(
        "  list change: {:.1} messages and {:.0} bytes sent per node; received after {}",
        per_node(sum.messages, nodes, per_change),
        per_node(sum.bytes, nodes, per_change),
        quantiles(times)
    );
}

async fn measure_mark(fleet: &Fleet, nodes: usize) {
    take_traffic(fleet);
    let vm = upstream(1).id;
    fleet.roster(0).mark_leaving(&vm).unwrap();
    let took = fleet
        .wait_until_all(LIMIT, |roster| roster.is_leaving(&vm))
        .await;
    sleep(Duration::from_millis(100)).await;
    let sum = total(&take_traffic(fleet));
    println!(
        "  mark: {:.1} messages and {:.0} bytes sent per node; on all nodes after {took:?}",
        per_node(sum.messages, nodes, 1.0),
        per_node(sum.bytes, nodes, 1.0),
    );
}

async fn measure_dead_node(fleet: &mut Fleet, nodes: usize, deliver_contacts: bool) {
    *fleet.network.deliver_contacts.lock().unwrap() = deliver_contacts;
    let number = if deliver_contacts {
        nodes / 2
    } else {
        nodes / 3
    };
    let vm = entry(number).id;
    fleet.stop(number);
    take_traffic(fleet);
    let started = Instant::now();
    let took = fleet
        .wait_until_all(LIMIT, |roster| {
            matches!(roster.reachability(&vm), Reachability::Unreachable { .. })
        })
        .await;
    let detecting = fleet
        .members
        .iter()
        .filter(|m| matches!(m.roster.reachability(&vm), Reachability::Unreachable { .. }));
    let detected_by = detecting.count();
    let seconds = started.elapsed().as_secs_f64();
    let sum = total(&take_traffic(fleet));
    println!(
        "  dead node, contacts delivered: {deliver_contacts}: {detected_by} of {} know after {took:?} (limit {LIMIT:?}); {:.1} bytes/s per node meanwhile",
        fleet.members.len(),
        per_node(sum.bytes, nodes, seconds),
    );
}

async fn measure(nodes: usize, upstreams: usize) {
    let mut fleet = Fleet::new(nodes, upstreams, RosterTimings::default());
    fleet.wait_converged(LIMIT).await.unwrap();
    sleep(Duration::from_secs(60)).await;
    let mut whole = Vec::new();
    ciborium::into_writer(&fleet.platform.newest(), &mut whole).unwrap();
    println!(
        "{nodes} nodes, {upstreams} upstreams, whole list {} bytes",
        whole.len()
    );
    measure_idle(&fleet, nodes).await;
    measure_changes(&fleet, nodes).await;
    measure_mark(&fleet, nodes).await;
    measure_dead_node(&mut fleet, nodes, true).await;
    measure_dead_node(&mut fleet, nodes, false).await;
}

fn main() {
    for (nodes, upstreams) in [(7, 17), (20, 170), (60, 510), (120, 1_020), (340, 2_900)] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(measure(nodes, upstreams));
    }
}

//! Cost of configuration convergence per node, and the time until a change is in force on the last node.
//!
//! A fleet of real convergence objects runs in this process, under paused time unless `--real-time` is
//! given. The result is one line of `name=value` pairs.

use std::time::{Duration, Instant as WallInstant};

use clap::{Parser, ValueEnum};
use hdrhistogram::Histogram;
use oleanderpost_bench::{Fleet, ProcessUsage, SampleFleetFile};
use oleanderpost_config::{Convergence, Mechanism, Traffic, Tuning};
use oleanderpost_types::FileName;
use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, sleep_until};

/// Warm-up time that is excluded from the measurement.
const WARM_UP: Duration = Duration::from_secs(30);
/// Interval at which the nodes are polled for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a change counts as missed.
const LIMIT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Scenario {
    /// No faults.
    Calm,
    /// One tenth of the nodes is silent, chosen anew for each change; the other nodes do not know which.
    Tenth,
    /// The platform shows changes to one data centre only.
    Platform,
}

#[derive(Clone, Copy, Debug, Parser)]
struct Args {
    /// Number of nodes.
    #[arg(long, default_value_t = 20)]
    nodes: usize,
    /// Number of data centres.
    #[arg(long, default_value_t = 6)]
    data_centres: usize,
    /// Number of upstreams in the file that changes.
    #[arg(long, default_value_t = 50)]
    upstreams: usize,
    /// Number of client accounts in the file that changes.
    #[arg(long, default_value_t = 0)]
    accounts: usize,
    /// Number of files of that size; one of them changes.
    #[arg(long, default_value_t = 1)]
    files: usize,
    /// Number of changes to make.
    #[arg(long, default_value_t = 50)]
    changes: u64,
    /// Time between two changes, in milliseconds; 24,000 corresponds to 3,600 changes a day.
    #[arg(long, default_value_t = 24_000)]
    interval_ms: u64,
    /// Faults to inject.
    #[arg(long, value_enum, default_value_t = Scenario::Calm)]
    scene: Scenario,
    /// Number of peers that a node pushes a change to.
    #[arg(long, default_value_t = Tuning::default().fanout)]
    fanout: usize,
    /// Maximum size of a payload that is sent along with the first offer, in bytes.
    #[arg(long, default_value_t = Tuning::default().inline_limit)]
    inline_limit: usize,
    /// Mean time between two comparisons with a peer, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    sync_ms: u64,
    /// Mean time between two reports, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    report_ms: u64,
    /// Maximum one-way delay of a message, in milliseconds.
    #[arg(long, default_value_t = 10)]
    delay_ms: u64,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run in real time instead of paused time.
    #[arg(long)]
    real_time: bool,
}

fn main() {
    let args = Args::parse();
    let runtime = if args.real_time {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_time()
            .build()
    } else {
        tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
    };
    runtime.expect("a runtime").block_on(run(args));
}

fn name() -> FileName {
    "fleet".parse().expect("a valid name")
}

async fn run(args: Args) {
    let base = ProcessUsage::now();
    let tuning = Tuning {
        fanout: args.fanout,
        inline_limit: args.inline_limit,
        sync_interval: Duration::from_millis(args.sync_ms),
        report_interval: Duration::from_millis(args.report_ms),
        ..Tuning::default()
    };
    let mut fleet = Fleet::builder(args.nodes, args.data_centres)
        .with_tuning(tuning)
        .with_seed(args.seed)
        .build();
    fleet.network().set_quality(0.0, 0.0, (1, args.delay_ms));
    let sample = SampleFleetFile {
        upstreams: args.upstreams,
        accounts: args.accounts,
    };
    let len = sample.text(1).len();
    fleet.platform().write(&name(), Some(&sample.text(1)));
    for i in 1..args.files {
        let other: FileName = format!("other-{i}").parse().expect("a valid name");
        fleet.platform().write(&other, Some(&sample.text(1)));
    }
    fleet.start_all();
    assert!(
        fleet.wait_in_force(&name(), 1, 60 * LIMIT).await,
        "the first generation is in force on all nodes"
    );
    sleep(WARM_UP).await;
    let before = Totals::new(&fleet);
    let times = make_changes(&fleet, args, &sample).await;
    let after = Totals::new(&fleet);
    println!(
        "nodes={} scene={:?} file_bytes={len} fanout={} sync_ms={} changes={} missed={} \
         in_force_ms_p50={} p99={} max={}{}",
        args.nodes,
        args.scene,
        args.fanout,
        args.sync_ms,
        args.changes,
        args.changes - times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
        after.summary_since(&before, args.nodes, base),
    );
    fleet.close().await;
}

/// Makes the changes. Returns the times in milliseconds until each change is in force on the last node.
async fn make_changes(fleet: &Fleet, args: Args, sample: &SampleFleetFile) -> Histogram<u64> {
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    if args.scene == Scenario::Platform {
        for replica in 1..args.data_centres {
            fleet.platform().set_frozen(replica, true);
        }
    }
    for generation in 2..args.changes + 2 {
        let start = Instant::now();
        let silent = silence_tenth(fleet, args, &mut rng);
        fleet
            .platform()
            .write(&name(), Some(&sample.text(generation)));
        if let Some(time) = wait_in_force(fleet, &silent, generation).await {
            times
                .record(u64::try_from(time.as_millis()).expect("the time fits"))
                .expect("in range");
        }
        sleep_until(start + Duration::from_millis(args.interval_ms)).await;
    }
    times
}

/// In [`Scenario::Tenth`], silences a newly chosen tenth of the nodes. Returns which nodes are silent.
fn silence_tenth(fleet: &Fleet, args: Args, rng: &mut ChaCha8Rng) -> Vec<bool> {
    let mut silent = vec![false; fleet.len()];
    if args.scene != Scenario::Tenth {
        return silent;
    }
    fleet.network().set_reachability_known(false);
    for flag in silent.iter_mut().take(fleet.len().div_ceil(10)) {
        *flag = true;
    }
    silent.shuffle(rng);
    for (i, silent) in silent.iter().enumerate() {
        fleet.network().set_silent(fleet.vm(i), *silent);
    }
    silent
}

/// Waits until all nodes that are not silent have `generation` in force. Returns the time it took, or `None`
/// after [`LIMIT`].
async fn wait_in_force(fleet: &Fleet, silent: &[bool], generation: u64) -> Option<Duration> {
    let start = Instant::now();
    let mut waiting: Vec<usize> = (0..fleet.len()).filter(|i| !silent[*i]).collect();
    while start.elapsed() < LIMIT {
        waiting.retain(|i| {
            fleet
                .in_force(*i, &name())
                .is_none_or(|v| v.generation.get() < generation)
        });
        if waiting.is_empty() {
            return Some(start.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Totals of the fleet at one point in time.
struct Totals {
    at: Instant,
    wall: WallInstant,
    usage: ProcessUsage,
    reads: u64,
    open: u64,
    peak: u64,
    check_micros: u64,
    checks: u64,
    held: u64,
    nodes: Vec<[Traffic; 4]>,
}

impl Totals {
    fn new(fleet: &Fleet) -> Self {
        let counters = |node: &Convergence| node.counters();
        let statuses = fleet.running().map(Convergence::status);
        Self {
            at: Instant::now(),
            wall: WallInstant::now(),
            usage: ProcessUsage::now(),
            reads: fleet.platform().reads(),
            open: fleet.platform().open_reads(),
            peak: fleet.platform().peak_reads(),
            check_micros: fleet
                .running()
                .map(|node| counters(node).check_micros)
                .sum(),
            checks: fleet.running().map(|node| counters(node).checks).sum(),
            held: statuses.map(|status| status.held_bytes).sum(),
            nodes: fleet
                .running()
                .map(|node| Mechanism::ALL.map(|m| *counters(node).traffic(m)))
                .collect(),
        }
    }

    fn summary_since(&self, before: &Self, nodes: usize, base: ProcessUsage) -> String {
        let seconds = (self.at - before.at).as_secs_f64();
        let per_node = seconds * nodes as f64;
        let cpu = (self.usage.cpu - before.usage.cpu).as_secs_f64();
        let mut text = format!(
            " seconds={seconds:.0} wall_s={:.1} reads_per_s={:.2} open_watches={} peak_reads={} \
             cpu_percent_per_node={:.4} check_ms={:.2} resident_kb_per_node={} held_kb_per_node={}",
            (self.wall - before.wall).as_secs_f64(),
            (self.reads - before.reads) as f64 / seconds,
            self.open,
            self.peak,
            cpu / per_node * 100.0,
            (self.check_micros - before.check_micros) as f64
                / (self.checks - before.checks).max(1) as f64
                / 1000.0,
            self.usage.resident.saturating_sub(base.resident) / 1024 / nodes as u64,
            self.held / 1024 / nodes as u64,
        );
        let mut bytes_per_node = vec![0.0; nodes];
        for (index, mechanism) in Mechanism::ALL.into_iter().enumerate() {
            let mut bytes = 0.0;
            let mut messages = 0.0;
            for (node, node_total) in bytes_per_node.iter_mut().enumerate() {
                let (new, old) = (self.nodes[node][index], before.nodes[node][index]);
                let node_bytes = (new.bytes_sent - old.bytes_sent + new.bytes_received
                    - old.bytes_received) as f64;
                bytes += node_bytes;
                messages += (new.messages_sent - old.messages_sent + new.messages_received
                    - old.messages_received) as f64;
                *node_total += node_bytes / seconds;
            }
            text += &format!(
                " {mechanism}_bytes_per_s={:.1} {mechanism}_messages_per_s={:.3}",
                bytes / per_node,
                messages / per_node
            );
        }
        bytes_per_node.sort_by(f64::total_cmp);
        let mean = bytes_per_node.iter().sum::<f64>() / nodes as f64;
        let highest = bytes_per_node.last().copied().unwrap_or_default();
        text + &format!(" bytes_per_s_mean={mean:.1} bytes_per_s_most={highest:.1}")
    }
}

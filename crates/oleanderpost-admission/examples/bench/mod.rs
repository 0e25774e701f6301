//! Support for the benchmark: arrivals, baseline policies, results.

use std::{
    cell::RefCell,
    fmt,
    rc::Rc,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};

use oleanderpost_admission::Settings;
use oleanderpost_standin::StepModel;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep_until};

use crate::support::{FleetConfig, Outcome, TestFleet, run_request, vm};

mod baseline;

/// Time before the first arrival in which the fleet takes over its engines.
const WARM_UP: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Preset {
    Association,
    Lakeshore,
}

impl Preset {
    pub(crate) fn engines(self) -> usize {
        match self {
            Self::Association => 14,
            Self::Lakeshore => 16,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    SevenNodes,
    SingleNode,
    RoundRobin,
    LeastInFlight,
    LeastInFlightWithPriority,
    EqualShares,
}

impl Policy {
    pub(crate) const ALL: [Self; 6] = [
        Self::SevenNodes,
        Self::SingleNode,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::LeastInFlightWithPriority,
        Self::EqualShares,
    ];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::SevenNodes => "7 nodes",
            Self::SingleNode => "one node",
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight per node",
            Self::LeastInFlightWithPriority => "least in flight per node, engine priorities",
            Self::EqualShares => "equal shares of the engines",
        })
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    pub(crate) load: f64,
    pub(crate) include_long: bool,
    pub(crate) span: Duration,
    /// Load in the middle third of the run.
    pub(crate) burst: Option<f64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) preset: Preset,
    pub(crate) step: StepModel,
    pub(crate) policy: Policy,
    pub(crate) arrivals: Arrivals,
    pub(crate) seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    at: Duration,
    prompt: u64,
    max_tokens: u64,
    node: usize,
    account: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Class {
    Short,
    Medium,
    Long,
    Group,
}

impl Class {
    pub(crate) fn new(prompt: u64) -> Self {
        match prompt {
            0..=4_000 => Self::Short,
            4_001..=100_000 => Self::Medium,
            100_001..=399_000 => Self::Long,
            _ => Self::Group,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestResult {
    class: Class,
    at: Duration,
    served: Outcome,
}

impl RequestResult {
    pub(crate) fn refused(&self) -> bool {
        matches!(self.served, Outcome::Refused { .. })
    }

    pub(crate) fn failed(&self) -> bool {
        matches!(self.served, Outcome::Failed { .. })
    }

    fn completed_at(&self) -> Option<Duration> {
        match self.served {
            Outcome::Completed { total, .. } => Some(self.at + total),
            _ => None,
        }
    }
}

#[derive(Default)]
pub(crate) struct Results(Vec<RequestResult>, u64);

impl Results {
    /// Quantile of the time to the first token, in milliseconds.
    pub(crate) fn quantile(&self, class: Class, quantile: f64) -> f64 {
        let first = |run: &RequestResult| match run.served {
            Outcome::Completed { first_token, .. } if run.class == class => Some(first_token),
            _ => None,
        };
        let mut times: Vec<_> = self.0.iter().filter_map(first).collect();
        times.sort();
        let last = times.len().saturating_sub(1) as f64;
        times
            .get((last * quantile).round() as usize)
            .map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
    }

    /// Percentage of matching requests in each class.
    pub(crate) fn share(&self, wanted: impl Fn(&RequestResult) -> bool) -> String {
        let classes = [Class::Short, Class::Medium, Class::Long, Class::Group];
        let share = |class| {
            let all = self
                .0
                .iter()
                .filter(|run| run.class == class)
                .count()
                .max(1);
            let matching = self
                .0
                .iter()
                .filter(|run| run.class == class && wanted(run))
                .count();
            format!("{:.1}", 100.0 * matching as f64 / all as f64)
        };
        classes.map(share).join("/") + " %"
    }

    /// Complete answers per second before, during and after the overload, and the recovery time.
    pub(crate) fn goodput(&self, span: Duration) -> String {
        let third = span.as_secs_f64() / 3.0;
        let window = 10.0;
        let rate = |from: f64, to: f64| {
            let matching = |run: &&RequestResult| {
                run.completed_at()
                    .is_some_and(|at| (from..to).contains(&at.as_secs_f64()))
            };
            self.0.iter().filter(matching).count() as f64 / (to - from) / self.1 as f64
        };
        let before = rate(third / 2.0, third);
        let during = rate(third + window, 2.0 * third);
        let after = rate(2.0 * third + window, 3.0 * third);
        format!(
            "{before:.1}/s | {during:.1}/s | {after:.1}/s | short p95 back within 1.5x after {}",
            self.recovery(third),
        )
    }

    /// Seconds after the overload until the short prompts' p95 over 5 s is at most 1.5 times the former one.
    fn recovery(&self, third: f64) -> String {
        let p95 = |from: f64, to: f64| {
            let in_window = |run: &&RequestResult| (from..to).contains(&run.at.as_secs_f64());
            let results = self.0.iter().filter(in_window).copied().collect();
            Self(results, 1).quantile(Class::Short, 0.95)
        };
        let p95_before = p95(third / 2.0, third);
        let mut starts = (0..third as u32).map(f64::from);
        let recovered =
            starts.find(|s| p95(2.0 * third + s, 2.0 * third + s + 5.0) <= 1.5 * p95_before);
        recovered.map_or("never".to_owned(), |seconds| format!("{seconds} s"))
    }
}

/// Runs a scenario with several seeds, one thread per seed.
pub(crate) fn run_seeds(seeds: u64, scenario: impl Fn(u64) -> Scenario + Sync) -> Results {
    let mut results = Results(Vec::new(), seeds);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..seeds)
            .map(|seed| {
                scope.spawn({
                    let scenario = &scenario;
                    move || run(&scenario(seed))
                })
            })
            .collect();
        for thread in threads {
            results.0.extend(thread.join().expect("run does not panic"));
        }
    });
    results
}

fn run(scenario: &Scenario) -> Vec<RequestResult> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime can be built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_arrivals(scenario))
}

async fn run_arrivals(scenario: &Scenario) -> Vec<RequestResult> {
    // No admission nodes for baselines: owners would cancel their streams, which have no permits.
    let nodes = match scenario.policy {
        Policy::SevenNodes => 7,
        Policy::SingleNode => 1,
        _ => 0,
    };
    let config = FleetConfig {
        nodes,
        engines: scenario.preset.engines(),
        step: scenario.step.clone(),
        settings: Settings::default(),
        ..FleetConfig::default()
    };
    let fleet = Arc::new(TestFleet::new(config));
    tokio::time::sleep(WARM_UP).await;
    let start = Instant::now();
    let round_robin = Arc::new(AtomicUsize::new(0));
    let in_flight = Rc::new(RefCell::new(baseline::InFlight::new(
        7,
        scenario.preset.engines(),
    )));
    let mut tasks = Vec::new();
    for (i, arrival) in arrivals(scenario).into_iter().enumerate() {
        sleep_until(start + arrival.at).await;
        let limit = Duration::from_secs(if arrival.prompt > 100_000 { 300 } else { 60 });
        let req = fleet.request(i as u64, arrival.prompt, arrival.max_tokens, limit);
        let mut req = req;
        req.account = format!("account-{}", arrival.account)
            .parse()
            .expect("valid name");
        let (fleet, round_robin, in_flight, policy) = (
            fleet.clone(),
            round_robin.clone(),
            in_flight.clone(),
            scenario.policy,
        );
        tasks.push(tokio::task::spawn_local(async move {
            let served = match policy {
                Policy::SevenNodes | Policy::SingleNode => {
                    let node = arrival.node % fleet.config.nodes;
                    let admission = fleet.node(node).expect("node is running");
                    run_request(fleet.environment.clone(), admission, vm(node), req).await
                }
                _ => {
                    baseline::run_request(
                        &fleet,
                        policy,
                        &round_robin,
                        &in_flight,
                        arrival.node,
                        req,
                    )
                    .await
                }
            };
            RequestResult {
                class: Class::new(arrival.prompt),
                at: arrival.at,
                served,
            }
        }));
    }
    let mut results = Vec::new();
    for task in tasks {
        let run = task.await.expect("request task does not panic");
        results.push(run);
    }
    results
}

fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let Arrivals {
        load,
        include_long,
        span,
        burst,
    } = scenario.arrivals;
    let saturating_rate = saturating_request_rate(scenario);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    let span = span.as_secs_f64();
    while at < span {
        let middle = (span / 3.0..span * 2.0 / 3.0).contains(&at);
        let rate = saturating_rate * burst.filter(|_| middle).unwrap_or(load);
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        let arrival = Arrival {
            at: Duration::from_secs_f64(at),
            prompt: prompt(&mut rng),
            max_tokens: rng.random_range(32..=400),
            node: rng.random_range(0..7),
            account: account(&mut rng),
        };
        if include_long || arrival.prompt <= 100_000 {
            arrivals.push(arrival);
        }
    }
    arrivals
}

/// 70% of the prompts are short; 2% have more than 100,000 tokens.
fn prompt(rng: &mut ChaCha8Rng) -> u64 {
    let (from, to): (f64, f64) = match rng.random_range(0..50) {
        0 => (100_001.0, 1_000_000.0),
        1..=14 => (4_001.0, 100_000.0),
        _ => (1_000.0, 4_000.0),
    };
    (from * (to / from).powf(rng.random::<f64>())) as u64
}

/// Three of the ten accounts send 70% of the requests.
fn account(rng: &mut ChaCha8Rng) -> u64 {
    if rng.random_range(0..10) < 7 {
        rng.random_range(0..3)
    } else {
        rng.random_range(3..10)
    }
}

/// Requests per second that saturate all engines, by the step model.
fn saturating_request_rate(scenario: &Scenario) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let count = 20_000;
    let total: f64 = (0..count)
        .map(|_| engine_seconds(&scenario.step, prompt(&mut rng) as f64))
        .sum();
    scenario.preset.engines() as f64 / (total / f64::from(count))
}

/// Engine seconds of one request, assuming that eight requests share the base cost of decoding steps.
fn engine_seconds(step: &StepModel, prompt: f64) -> f64 {
    let (chunk, answer, sharing) = (1_024.0, 216.0, 8.0);
    let prefill = (prompt / chunk).ceil() * step.base_us + prompt * step.prefill_us;
    let attention = step.prefill_attention_ns * prompt * prompt / 2.0 / 1e6;
    let decode = answer
        * (step.decode_us + step.decode_attention_ns * prompt / 1e3 + step.base_us / sharing);
    (prefill + attention + decode) / 1e6
}

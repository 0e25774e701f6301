//! Quality of service when short and long prompts share engines, in simulated time.
//!
//! The load is the heaviest one that the users specify: short prompts at 2.4 times their usual rate, then
//! long prompts at 2.65 times their usual rate, then short prompts again, each for ten seconds.

mod support;

use support::{LeastInFlight, OutcomeStats, SchedulerPlacer, burst_of_long_prompts, simulate};

/// Number of engines in the Association's fleet.
const ENGINES: usize = 14;
/// Seeds of the simulated loads.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// The users' target for the time to the first event of short prompts at the 90th percentile, in
/// milliseconds.
const SHORT_FIRST_EVENT_MS: f64 = 300.0;

/// Statistics over several runs: of the scheduler under test, and of the least-in-flight baseline.
fn total_stats(kind: Option<&str>, runs: &[Run]) -> (OutcomeStats, OutcomeStats) {
    let (mut scheduled, mut baseline) = (OutcomeStats::default(), OutcomeStats::default());
    for run in runs {
        scheduled.add(&OutcomeStats::new(&run.requests, &run.scheduled, kind));
        baseline.add(&OutcomeStats::new(&run.requests, &run.baseline, kind));
    }
    (scheduled, baseline)
}

struct Run {
    requests: Vec<support::Request>,
    scheduled: Vec<support::Outcome>,
    baseline: Vec<support::Outcome>,
}

#[test]
fn all_kinds_are_served_better_than_by_least_in_flight() {
    let runs: Vec<_> = SEEDS
        .map(|seed| {
            let requests = burst_of_long_prompts(seed);
            let scheduled = simulate(&requests, ENGINES, &mut SchedulerPlacer::new(ENGINES));
            let baseline = simulate(&requests, ENGINES, &mut LeastInFlight::new(ENGINES));
            Run {
                requests,
                scheduled,
                baseline,
            }
        })
        .collect();
    for kind in [Some("short"), Some("medium"), Some("long"), None] {
        let (scheduled, baseline) = total_stats(kind, &runs);
        let name = kind.unwrap_or("all");
        println!(
            "{name:>8}: on time {:.3} and {:.3}, served {:.4} and {:.4}, tokens on time {:.3} and {:.3}, first event at p90 {:.0} and {:.0} ms",
            scheduled.on_time_share(),
            baseline.on_time_share(),
            scheduled.served_share(),
            baseline.served_share(),
            scheduled.on_time_token_share(),
            baseline.on_time_token_share(),
            scheduled.first_event_ms(0.9),
            baseline.first_event_ms(0.9)
        );
        assert!(scheduled.is_better_than(&baseline), "{name}");
    }
    for (seed, run) in SEEDS.zip(runs.chunks(1)) {
        let (short, _) = total_stats(Some("short"), run);
        assert!(
            short.first_event_ms(0.9) <= SHORT_FIRST_EVENT_MS,
            "seed {seed}: {} ms",
            short.first_event_ms(0.9)
        );
        let (scheduled, baseline) = total_stats(None, run);
        assert!(scheduled.is_better_than(&baseline), "seed {seed}");
        assert!(
            scheduled.served_share() >= 0.99,
            "seed {seed}: {}",
            scheduled.served_share()
        );
    }
}

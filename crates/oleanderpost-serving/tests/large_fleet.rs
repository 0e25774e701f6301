//! Bursts of long prompts on fleets of 45 and 112 engines, in simulated time.
//!
//! The load is the heaviest one that the users specify for these fleets: long prompts at 2.8 times their usual
//! rate for ten seconds, short prompts at 2.4 times their usual rate for ten seconds, then long ones again. Every
//! third or fourth long prompt exceeds the memory of one engine.

mod support;

use oleanderpost_serving::EngineProfile;
use support::{
    Kind, LONG, LeastInFlight, MEDIUM, Outcome, OutcomeStats, Request, SHORT, SchedulerPlacer, mix,
    simulate_with_profile,
};

/// Seeds of the simulated loads.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// A deployment: its engines and its kinds of requests.
struct Fleet {
    engines: usize,
    profile: EngineProfile,
    short: Kind,
    medium: Kind,
    long: Kind,
}

impl Fleet {
    /// The Association's fleet with 195 entry VMs.
    fn association() -> Self {
        Self {
            engines: 112,
            profile: EngineProfile {
                slots: 10,
                steps_per_pass: 68.0,
                ..support::profile()
            },
            short: Kind {
                rate_per_s: 159.0,
                answer: 1_537.0,
                objective_ms: 400.0,
                ..SHORT
            },
            medium: Kind {
                rate_per_s: 12.5,
                answer: 925.0,
                ..MEDIUM
            },
            long: Kind {
                rate_per_s: 5.98,
                prompt: 190_000.0,
                answer: 768.0,
                ..LONG
            },
        }
    }

    /// The ice chart desk's fleet with 77 entry VMs.
    fn ice_desk() -> Self {
        Self {
            engines: 45,
            profile: EngineProfile {
                slots: 12,
                memory_tokens: 344_250.0,
                steps_per_pass: 38.0,
                step_ms: 1.31,
                per_sequence_ms: 0.000_917,
                per_context_ms: 0.002_13,
                prefill_tokens_per_ms: 154.0,
                per_pairs_ms: 0.162,
                hop_ms: 0.1,
                ..support::profile()
            },
            short: Kind {
                rate_per_s: 71.3,
                answer: 1_368.0,
                ..SHORT
            },
            medium: Kind {
                rate_per_s: 5.01,
                answer: 798.0,
                ..MEDIUM
            },
            long: Kind {
                rate_per_s: 1.62,
                prompt: 260_000.0,
                max_prompt: 900_000.0,
                answer: 684.0,
                objective_ms: 4_000.0,
                ..LONG
            },
        }
    }

    fn requests(&self, seed: u64) -> Vec<Request> {
        let mostly_long = [(self.short, 0.35), (self.medium, 1.3), (self.long, 2.8)];
        let mostly_short = [(self.short, 2.4), (self.medium, 0.5), (self.long, 0.05)];
        let mut requests = mix(seed, &mostly_long, 0.0, 9_500.0);
        requests.extend(mix(seed + 1_000, &mostly_short, 10_000.0, 19_500.0));
        requests.extend(mix(seed + 2_000, &mostly_long, 20_500.0, 30_000.0));
        requests
    }

    fn simulate(&self, requests: &[Request]) -> Vec<Outcome> {
        let mut placer = SchedulerPlacer::with_profile(self.engines, self.profile.clone());
        simulate_with_profile(
            requests,
            self.engines,
            &self.profile,
            &|_, _| 1.0,
            &mut placer,
        )
    }

    fn simulate_baseline(&self, requests: &[Request]) -> Vec<Outcome> {
        let mut placer = LeastInFlight::with_profile(self.engines, self.profile.clone());
        simulate_with_profile(
            requests,
            self.engines,
            &self.profile,
            &|_, _| 1.0,
            &mut placer,
        )
    }
}

/// Outcomes of the bursts of all seeds.
#[derive(Default)]
struct Bursts {
    short: OutcomeStats,
    medium: OutcomeStats,
    total: OutcomeStats,
    baseline_total: OutcomeStats,
    /// Long requests, ordered by prompt length.
    longs: Vec<(Request, Outcome)>,
}

impl Bursts {
    fn new(fleet: &Fleet) -> Self {
        let mut bursts = Self::default();
        for seed in SEEDS {
            let requests = fleet.requests(seed);
            let outcomes = fleet.simulate(&requests);
            let stats = |kind| OutcomeStats::new(&requests, &outcomes, kind);
            bursts.short.add(&stats(Some("short")));
            bursts.medium.add(&stats(Some("medium")));
            bursts.total.add(&stats(None));
            let baseline = fleet.simulate_baseline(&requests);
            let baseline = OutcomeStats::new(&requests, &baseline, None);
            bursts.baseline_total.add(&baseline);
            let paired = requests.iter().copied().zip(outcomes);
            bursts
                .longs
                .extend(paired.filter(|(req, _)| req.kind.name == "long"));
        }
        let longs = &mut bursts.longs;
        longs.sort_by(|(a, _), (b, _)| a.prompt.total_cmp(&b.prompt));
        bursts
    }

    /// Shares of the longest tenth and of all long requests that were served.
    fn served_long_shares(&self) -> (f64, f64) {
        let share = |longs: &[(Request, Outcome)]| {
            let served = longs.iter().filter(|(_, outcome)| outcome.completed);
            served.count() as f64 / longs.len() as f64
        };
        let longest_tenth = &self.longs[self.longs.len() * 9 / 10..];
        (share(longest_tenth), share(&self.longs))
    }
}

fn check_short_and_medium(fleet: &Fleet) {
    let bursts = Bursts::new(fleet);
    for (name, stats) in [
        ("short", &bursts.short),
        ("medium", &bursts.medium),
        ("all", &bursts.total),
    ] {
        println!(
            "{name:>8}: on time {:.3}, served {:.4}, tokens on time {:.3}, first event at p90 {:.0} ms",
            stats.on_time_share(),
            stats.served_share(),
            stats.on_time_token_share(),
            stats.first_event_ms(0.9)
        );
    }
    assert!(bursts.short.first_event_ms(0.9) <= fleet.short.objective_ms);
    assert!(bursts.medium.first_event_ms(0.9) <= fleet.medium.objective_ms);
    assert!(bursts.total.is_better_than(&bursts.baseline_total));
}

/// The users' rule: the longest tenth of a kind is served at least half as often as the whole kind.
fn check_longest(fleet: &Fleet) {
    let (longest_tenth, all) = Bursts::new(fleet).served_long_shares();
    println!("served: longest tenth {longest_tenth:.4}, all {all:.4}");
    assert!(longest_tenth >= all / 2.0);
}

#[test]
fn short_and_medium_prompts_are_on_time_on_112_engines() {
    check_short_and_medium(&Fleet::association());
}

#[test]
fn short_and_medium_prompts_are_on_time_on_45_engines() {
    check_short_and_medium(&Fleet::ice_desk());
}

#[test]
fn longest_prompts_are_served_on_112_engines() {
    check_longest(&Fleet::association());
}

#[test]
fn longest_prompts_are_served_on_45_engines() {
    check_longest(&Fleet::ice_desk());
}

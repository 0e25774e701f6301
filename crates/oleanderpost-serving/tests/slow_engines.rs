//! Quality of service while some engines are slower than configured, in simulated time.
//!
//! The load is the usual one that the users specify. Between seconds 5 and 15, two of 14 engines take five
//! times as long for each pass.

mod support;

use std::ops::Range;

use oleanderpost_serving::EngineProfile;
use support::{
    LONG, MEDIUM, OutcomeStats, SHORT, SchedulerPlacer, mix, profile, simulate_with_slowdown,
};

/// Number of engines in the Association's fleet.
const ENGINES: usize = 14;
/// Engines that become slow: the ones to which short prompts are assigned first.
const SLOW: [usize; 2] = [12, 13];
/// Period in which they are slow, in milliseconds.
const SLOW_PERIOD_MS: Range<f64> = 5_000.0..15_000.0;
/// Time allowed for measuring the speed of the whole fleet, in milliseconds.
const MEASURING_MS: f64 = 6_000.0;
/// Factor by which the whole fleet is slower than configured.
const FLEET_FACTOR: f64 = 1.5;
/// Permitted loss in the share of short prompts on time, compared with a scheduler that is configured with
/// the actual speed. The users regard a smaller difference as noise.
const MEASURING_LOSS: f64 = 0.03;
/// Duration of a run in milliseconds.
const RUN_MS: f64 = 25_000.0;
/// Seeds of the simulated loads.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// Share of the short prompts that the users require to be on time.
const MIN_ON_TIME_SHARE: f64 = 0.9;

/// Share of the short prompts that were on time, among those that arrived within `span`.
fn short_on_time_share(
    configured_profile: &EngineProfile,
    span: &Range<f64>,
    slowdown: &dyn Fn(f64, usize) -> f64,
) -> f64 {
    let mut short = OutcomeStats::default();
    for seed in SEEDS {
        let kinds = [(SHORT, 1.0), (MEDIUM, 1.0), (LONG, 0.5)];
        let requests = mix(seed, &kinds, 0.0, RUN_MS);
        let mut placer = SchedulerPlacer::with_profile(ENGINES, configured_profile.clone());
        let outcomes = simulate_with_slowdown(&requests, ENGINES, slowdown, &mut placer);
        let counted = requests.iter().zip(&outcomes);
        let counted = counted.filter(|(req, _)| span.contains(&req.at));
        let (requests, outcomes): (Vec<_>, Vec<_>) = counted.unzip();
        short.add(&OutcomeStats::new(&requests, &outcomes, Some("short")));
    }
    let share = short.on_time_share();
    println!("short prompts on time: {share:.3}");
    share
}

#[test]
fn short_prompts_avoid_engines_that_became_slow() {
    let share = short_on_time_share(&profile(), &SLOW_PERIOD_MS, &|now, engine| {
        let slow = SLOW_PERIOD_MS.contains(&now) && SLOW.contains(&engine);
        if slow { 5.0 } else { 1.0 }
    });
    assert!(
        share >= MIN_ON_TIME_SHARE,
        "{share:.3} of the short prompts on time"
    );
}

#[test]
fn speed_of_a_fleet_slower_than_configured_is_measured() {
    let after_measuring = MEASURING_MS..RUN_MS;
    let slowdown = |_, _| FLEET_FACTOR;
    let configured =
        short_on_time_share(&profile().slowed(FLEET_FACTOR), &after_measuring, &slowdown);
    let measured = short_on_time_share(&profile(), &after_measuring, &slowdown);
    assert!(
        measured >= configured - MEASURING_LOSS,
        "{measured:.3} on time, {configured:.3} if configured"
    );
}

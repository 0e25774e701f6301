//! Compares the time to first token by prompt length for several engine selection policies.
//!
//! Real admission instances and stand-in engines under paused time; seeded open-loop arrivals.
//!
//! Usage:
//! `short_beside_long [association|lakeshore] [mix|overload] [seconds] [seeds] [models|all] [loads] [policies]`

#[path = "../tests/support/mod.rs"]
mod support;

mod bench;

use std::time::Duration;

use bench::{Arrivals, Class, Policy, Preset, RequestResult, Scenario};
use oleanderpost_standin::StepModel;

fn models() -> Vec<(&'static str, StepModel)> {
    let default = StepModel::default();
    vec![
        ("default", default.clone()),
        (
            "slow steps",
            StepModel {
                base_us: 15_000.0,
                decode_us: 150.0,
                ..default.clone()
            },
        ),
        (
            "heavy attention",
            StepModel {
                prefill_attention_ns: 160.0,
                decode_attention_ns: 80.0,
                ..default.clone()
            },
        ),
        (
            "fast prefill",
            StepModel {
                prefill_us: 6.0,
                prefill_attention_ns: 15.0,
                ..default.clone()
            },
        ),
        (
            "slow prefill",
            StepModel {
                prefill_us: 45.0,
                ..default
            },
        ),
    ]
}

fn main() {
    let args: Vec<_> = std::env::args().skip(1).collect();
    let arg = |i: usize, default: &str| args.get(i).cloned().unwrap_or_else(|| default.to_owned());
    let preset = if arg(0, "association") == "lakeshore" {
        Preset::Lakeshore
    } else {
        Preset::Association
    };
    let seconds: u64 = arg(2, "200").parse().expect("seconds");
    let seeds: u64 = arg(3, "3").parse().expect("seeds");
    let selected = args
        .get(4)
        .map(|models| models.split(',').map(str::to_owned).collect::<Vec<_>>());
    let loads = args.get(5).map_or(vec![0.5, 0.75], |loads| {
        loads
            .split(',')
            .map(|load| load.parse().expect("load"))
            .collect()
    });
    let span = Duration::from_secs(seconds);
    let is_selected = |name: &str| {
        selected
            .as_ref()
            .is_none_or(|selected| selected.iter().any(|f| f == "all" || f == name))
    };
    for (name, step) in models().into_iter().filter(|(name, _)| is_selected(name)) {
        match arg(1, "mix").as_str() {
            "overload" => loads
                .iter()
                .for_each(|load| overload(preset, name, &step, *load, span, seeds)),
            _ => loads
                .iter()
                .for_each(|load| mix(preset, name, &step, *load, span, seeds)),
        }
    }
}

/// All policies, or the first N if the seventh argument gives a number.
fn policies() -> impl Iterator<Item = Policy> {
    let count = std::env::args()
        .nth(7)
        .map(|count| count.parse().expect("count"));
    Policy::ALL
        .into_iter()
        .take(count.unwrap_or(Policy::ALL.len()))
}

fn mix(preset: Preset, name: &str, step: &StepModel, load: f64, span: Duration, seeds: u64) {
    println!(
        "\n### {preset:?}, {name}, load {load}, {} s, {seeds} seeds",
        span.as_secs()
    );
    println!(
        "| policy | <=4k p50 | p95 | p95 without long | slowdown | 4k-100k p50 | p95 | 100k-400k p50 | p95 | >400k p50 | p95 | refused | failed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let scenario = |policy, include_long, seed| Scenario {
        preset,
        step: step.clone(),
        policy,
        arrivals: Arrivals {
            load,
            include_long,
            span,
            burst: None,
        },
        seed,
    };
    for policy in policies() {
        let run_policy =
            |include_long| bench::run_seeds(seeds, |seed| scenario(policy, include_long, seed));
        let (mixed, short_only) = (run_policy(true), run_policy(false));
        let p95 = mixed.quantile(Class::Short, 0.95);
        let p95_without_long = short_only.quantile(Class::Short, 0.95);
        println!(
            "| {policy} | {:.0} ms | {p95:.0} ms | {p95_without_long:.0} ms | {:.2} | {:.2} s | {:.2} s | {:.1} s | {:.1} s | {:.1} s | {:.1} s | {} | {} |",
            mixed.quantile(Class::Short, 0.5),
            p95 / p95_without_long,
            mixed.quantile(Class::Medium, 0.5) / 1e3,
            mixed.quantile(Class::Medium, 0.95) / 1e3,
            mixed.quantile(Class::Long, 0.5) / 1e3,
            mixed.quantile(Class::Long, 0.95) / 1e3,
            mixed.quantile(Class::Group, 0.5) / 1e3,
            mixed.quantile(Class::Group, 0.95) / 1e3,
            mixed.share(RequestResult::refused),
            mixed.share(RequestResult::failed),
        );
    }
}

fn overload(preset: Preset, name: &str, step: &StepModel, load: f64, span: Duration, seeds: u64) {
    println!(
        "\n### {preset:?}, {name}: load 0.6, then {load} for the middle third, {} s, {seeds} seeds",
        span.as_secs()
    );
    println!("| policy | goodput before | in overload | after | recovery | refused | failed |");
    println!("|---|---|---|---|---|---|---|");
    for policy in policies() {
        let results = bench::run_seeds(seeds, |seed| Scenario {
            preset,
            step: step.clone(),
            policy,
            arrivals: Arrivals {
                load: 0.6,
                include_long: true,
                span,
                burst: Some(load),
            },
            seed,
        });
        println!(
            "| {policy} | {} | {} | {} |",
            results.goodput(span),
            results.share(RequestResult::refused),
            results.share(RequestResult::failed)
        );
    }
}

//! Limits of upstreams: the limiter, and the scheduler that keeps to them.

mod support;

use bolero::check;
use oleanderpost_serving::{
    DataCentreName, Decision, RequestLimiter, RequestRate, Scheduler, UpstreamId, Work, WorkEnd,
    WorkId,
};
use oleanderpost_types::VmId;
use support::profile;

/// Window in which requests are counted, in milliseconds.
const WINDOW_MS: f64 = 4_000.0;
/// Rounding error of times.
const ROUNDING_MS: f64 = 1e-6;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).unwrap()
}

/// Most of the times in `times` that lie within one window.
fn most_in_window(times: &[f64]) -> usize {
    let count_from = |start: f64| {
        let window = start..start + WINDOW_MS;
        times.iter().filter(|at| window.contains(at)).count()
    };
    let counts = times.iter().map(|start| count_from(*start));
    counts.max().unwrap_or(0)
}

#[test]
fn limiter_never_exceeds_its_rate_and_always_allows_the_next_request_in_time() {
    check!()
        .with_type::<(u8, Vec<u8>)>()
        .for_each(|(tenths, gaps)| {
            let per_second = f64::from(*tenths) / 4.0 + 0.25;
            let mut limiter = RequestLimiter::new(0.0, rate(per_second));
            let (mut now, mut sent) = (0.0, Vec::new());
            for gap in gaps {
                now += f64::from(*gap) * 4.0;
                if limiter.wait_ms(now) <= 0.0 {
                    limiter.take(now);
                    sent.push(now);
                } else {
                    assert!(limiter.wait_ms(now) <= 1e3 / per_second + ROUNDING_MS);
                    assert!(limiter.wait_ms(now + limiter.wait_ms(now)) <= ROUNDING_MS);
                }
            }
            let allowed = per_second * WINDOW_MS / 1e3 * 1.5 + 5.0;
            assert!(most_in_window(&sent) as f64 <= allowed);
        });
}

#[test]
fn limiter_follows_a_rate_that_rises_or_falls() {
    let mut limiter = RequestLimiter::new(0.0, rate(0.1));
    assert!(limiter.wait_ms(0.0) > 5_000.0);
    limiter.set_rate(0.0, rate(100.0));
    assert!(limiter.wait_ms(0.0) <= 10.0);
    limiter.set_rate(0.0, rate(0.0));
    limiter.take(20.0);
    let wait_ms = limiter.wait_ms(20.0);
    assert!(
        (1_000.0..=10_000.0).contains(&wait_ms),
        "an upstream that accepts nothing is asked again after a while: {wait_ms}"
    );
}

fn scheduler(names: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new(profile());
    let engines = names
        .iter()
        .map(|name| (UpstreamId::new(name), DataCentreName::new("dc-a")));
    scheduler.set_engines(engines);
    scheduler
}

fn node() -> VmId {
    VmId::new("node-1").unwrap()
}

fn request(id: u64, prompt: f64) -> Work {
    Work {
        id: WorkId(1, id),
        prompt,
        answer: 300.0,
        answer_limit: 600.0,
        objective_ms: if prompt > 50_000.0 { 3_000.0 } else { 300.0 },
        pause_ms: if prompt > 50_000.0 { 1_000.0 } else { 250.0 },
        deadline_ms: 10_000.0,
        priority: 1,
        data_centre: DataCentreName::new("dc-a"),
        excluded: Vec::new(),
        parts: Vec::new(),
        patience_ms: None,
        node_stops_ms: None,
    }
}

/// Submits a request each 20 ms for 20 s, each of which ends 100 ms later, and waits for the last ones; returns the times and engines of the
/// placements, and the number of refusals.
fn play(scheduler: &mut Scheduler, prompt: impl Fn(u64) -> f64) -> (Vec<(f64, UpstreamId)>, usize) {
    let (mut placed, mut refused, mut ends) = (Vec::new(), 0, Vec::new());
    for id in 0..1_050 {
        let now = id as f64 * 20.0;
        ends.retain(|(at, id)| {
            let ended = *at <= now;
            if ended {
                scheduler.note_end(now, *id, WorkEnd::Finished);
            }
            !ended
        });
        let mut decisions = scheduler.schedule_waiting(now);
        if id < 1_000 {
            let work = request(id, prompt(id));
            decisions.push((node(), work.id, scheduler.submit(now, &node(), work)));
        }
        for (_, id, decision) in decisions {
            match decision {
                Decision::Run(grant) => {
                    placed.extend(grant.engines().map(|engine| (now, engine.clone())));
                    ends.push((now + 100.0, id));
                }
                Decision::Refuse { .. } => refused += 1,
                Decision::Wait => {}
            }
        }
    }
    (placed, refused)
}

fn times_at(placed: &[(f64, UpstreamId)], engine: &str) -> Vec<f64> {
    let at_engine = placed.iter().filter(|(_, id)| id.as_str() == engine);
    at_engine.map(|(at, _)| *at).collect()
}

#[test]
fn engine_with_a_limit_serves_as_many_requests_as_it_allows_and_others_the_rest() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let limit = |id: &UpstreamId| (id.as_str() != "a").then(|| rate(2.0));
    scheduler.set_limits(0.0, limit);
    let (placed, refused) = play(&mut scheduler, |_| 5_000.0);
    assert_eq!((placed.len(), refused), (1_000, 0));
    for engine in ["b", "c"] {
        let times = times_at(&placed, engine);
        assert!(
            most_in_window(&times) <= 10,
            "{engine}: {}",
            most_in_window(&times)
        );
    }
    let limited = times_at(&placed, "b").len() + times_at(&placed, "c").len();
    assert!(limited >= 30, "{limited} of about 80 possible");
}

#[test]
fn long_prompts_are_served_while_all_engines_have_limits() {
    let mut scheduler = scheduler(&["a", "b", "c", "d"]);
    scheduler.set_limits(0.0, |_| Some(rate(5.0)));
    let (placed, _) = play(&mut scheduler, |id| {
        if id % 25 == 0 { 133_000.0 } else { 5_000.0 }
    });
    for engine in ["a", "b", "c", "d"] {
        assert!(most_in_window(&times_at(&placed, engine)) <= 24);
    }
    let long = placed.len();
    assert!(long >= 300, "{long} of about 400 possible");
}

#[test]
fn requests_beyond_all_limits_are_refused_with_the_time_until_they_allow_one() {
    let mut scheduler = scheduler(&["a", "b"]);
    scheduler.set_limits(0.0, |_| Some(rate(0.5)));
    let decision = scheduler.submit(0.0, &node(), request(1, 5_000.0));
    let Decision::Refuse { retry_after_ms } = decision else {
        panic!("{decision:?}");
    };
    assert!(
        (1_000.0..=2_000.0).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    let later = scheduler.submit(retry_after_ms, &node(), request(2, 5_000.0));
    assert!(matches!(later, Decision::Run(_)), "{later:?}");
}

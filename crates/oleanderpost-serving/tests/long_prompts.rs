//! Prompts that only several engines together can read within the objective, on the ice chart desk's 14 engines.

mod support;

use oleanderpost_serving::{
    DataCentreName, Decision, EngineProfile, Scheduler, UpstreamId, Work, WorkEnd, WorkId,
};
use oleanderpost_types::VmId;
use support::{
    Kind, LONG, LeastInFlight, MEDIUM, Outcome, OutcomeStats, Request, SHORT, SchedulerPlacer, mix,
    simulate_with_profile,
};

const ENGINES: usize = 14;
/// Seeds of the simulated loads.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
/// Duration of the simulated loads in milliseconds.
const DURATION_MS: f64 = 30_000.0;
const OBJECTIVE_MS: f64 = 4_000.0;

fn desk_profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        memory_tokens: 405_000.0,
        steps_per_pass: 34.0,
        step_ms: 1.31,
        per_sequence_ms: 0.000_917,
        per_context_ms: 0.002_13,
        prefill_tokens_per_ms: 154.0,
        per_pairs_ms: 0.162,
        hop_ms: 0.1,
        ..support::profile()
    }
}

fn scheduler(engines: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(desk_profile());
    let engine = |n| {
        (
            UpstreamId::new(&format!("e{n}")),
            DataCentreName::new("dc-a"),
        )
    };
    scheduler.set_engines((0..engines).map(engine));
    scheduler
}

fn node() -> VmId {
    VmId::new("node-1").unwrap()
}

fn request(id: u64, prompt: f64) -> Work {
    Work {
        id: WorkId(1, id),
        prompt,
        answer: 650.0,
        answer_limit: 1_300.0,
        objective_ms: OBJECTIVE_MS,
        pause_ms: 1_000.0,
        deadline_ms: 15_000.0,
        patience_ms: Some(16_000.0),
        node_stops_ms: None,
        priority: 1,
        data_centre: DataCentreName::new("dc-a"),
        excluded: Vec::new(),
        parts: Vec::new(),
    }
}

/// Places a prompt that one engine reads in 2.8 s on each of `engines` engines.
fn occupy(scheduler: &mut Scheduler, engines: u64) {
    for id in 0..engines {
        let decision = scheduler.submit(0.0, &node(), request(id, 150_000.0));
        assert!(matches!(decision, Decision::Run(_)), "{decision:?}");
    }
}

fn finish(scheduler: &mut Scheduler, now: f64, ids: std::ops::Range<u64>) {
    for id in ids {
        scheduler.note_end(now, WorkId(1, id), WorkEnd::Finished);
    }
}

/// One engine would read the prompt in 9.2 s.
#[test]
fn prompt_that_a_group_reads_in_time_is_not_read_late_by_one_engine() {
    let mut scheduler = scheduler(4);
    occupy(&mut scheduler, 3);
    let long = request(9, 300_000.0);
    assert_eq!(scheduler.submit(0.0, &node(), long), Decision::Wait);
    finish(&mut scheduler, 600.0, 0..3);
    let decisions = scheduler.schedule_waiting(600.0);
    let [(_, _, Decision::Run(grant))] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert!(
        grant.first_event_ms <= OBJECTIVE_MS - 600.0,
        "{grant:?} is late"
    );
}

/// One engine has memory for the prompt, and would read it in 13.5 s.
#[test]
fn longest_prompt_is_not_refused_because_one_engine_can_not_serve_it() {
    let mut scheduler = scheduler(ENGINES);
    occupy(&mut scheduler, ENGINES as u64);
    let longest = request(99, 370_000.0);
    assert_eq!(scheduler.submit(0.0, &node(), longest), Decision::Wait);
}

/// Guards against late prompts that take each engine as it becomes idle, so that no group ever forms and all are late.
#[test]
fn late_prompt_leaves_idle_engines_to_one_that_can_be_in_time() {
    let mut scheduler = scheduler(4);
    occupy(&mut scheduler, 4);
    let late = Work {
        objective_ms: 100.0,
        ..request(8, 200_000.0)
    };
    assert_eq!(scheduler.submit(0.0, &node(), late), Decision::Wait);
    let in_time = request(9, 300_000.0);
    assert_eq!(scheduler.submit(0.0, &node(), in_time), Decision::Wait);
    finish(&mut scheduler, 300.0, 0..1);
    assert_eq!(scheduler.schedule_waiting(300.0), []);
    finish(&mut scheduler, 600.0, 1..4);
    let decisions = scheduler.schedule_waiting(600.0);
    assert_eq!(decisions.first().map(|(_, id, _)| *id), Some(WorkId(1, 9)));
}

/// A stream that its deadline cuts off is of no use to its caller.
#[test]
fn prompt_whose_answer_would_end_after_the_deadline_is_not_placed() {
    let mut scheduler = scheduler(1);
    let request = Work {
        objective_ms: 100.0,
        answer: 3_000.0,
        deadline_ms: 4_500.0,
        ..request(1, 150_000.0)
    };
    let decision = scheduler.submit(0.0, &node(), request);
    assert!(!matches!(decision, Decision::Run(_)), "{decision:?}");
}

/// The desk's kinds of requests, the shortest first.
fn kinds() -> [Kind; 3] {
    let short = Kind {
        rate_per_s: 28.0,
        answer: 1_309.0,
        ..SHORT
    };
    let medium = Kind {
        rate_per_s: 1.57,
        answer: 785.0,
        ..MEDIUM
    };
    let long = Kind {
        rate_per_s: 0.727,
        prompt: 182_000.0,
        max_prompt: 900_000.0,
        answer: 653.0,
        objective_ms: OBJECTIVE_MS,
        ..LONG
    };
    [short, medium, long]
}

/// All kinds at `factor` times the usual rate: the scheduler must serve more in time than the engine with the fewest
/// requests in progress, and the longest tenth at least half as often as all long prompts (the users' rule).
fn check_load(factor: f64) {
    let (mut scheduled, mut baseline) = (OutcomeStats::default(), OutcomeStats::default());
    let mut longs: Vec<(Request, Outcome)> = Vec::new();
    let profile = desk_profile();
    for seed in SEEDS {
        let requests = mix(seed, &kinds().map(|kind| (kind, factor)), 0.0, DURATION_MS);
        let mut placer = SchedulerPlacer::with_profile(ENGINES, profile.clone()).with_patience();
        let outcomes =
            simulate_with_profile(&requests, ENGINES, &profile, &|_, _| 1.0, &mut placer);
        scheduled.add(&OutcomeStats::new(&requests, &outcomes, None));
        let mut placer = LeastInFlight::with_profile(ENGINES, profile.clone());
        let plain = simulate_with_profile(&requests, ENGINES, &profile, &|_, _| 1.0, &mut placer);
        baseline.add(&OutcomeStats::new(&requests, &plain, None));
        let paired = requests.iter().copied().zip(outcomes);
        longs.extend(paired.filter(|(req, _)| req.kind.name == "long"));
    }
    longs.sort_by(|(a, _), (b, _)| a.prompt.total_cmp(&b.prompt));
    let share = |longs: &[(Request, Outcome)], test: &dyn Fn(&Outcome) -> bool| {
        let counted = longs.iter().filter(|(_, outcome)| test(outcome)).count();
        counted as f64 / longs.len() as f64
    };
    let in_time = |outcome: &Outcome| outcome.first_event_ms.is_some_and(|ms| ms <= OBJECTIVE_MS);
    let (all, tenth) = (&longs[..], &longs[longs.len() * 9 / 10..]);
    let served = |longs| share(longs, &|outcome| outcome.completed);
    println!(
        "{factor} times: tokens on time {:.3} and {:.3}; long in time {:.3}, served {:.3}, longest tenth {:.3}",
        scheduled.on_time_token_share(),
        baseline.on_time_token_share(),
        share(all, &in_time),
        served(all),
        served(tenth)
    );
    assert!(scheduled.is_better_than(&baseline));
    assert!(served(tenth) >= served(all) / 2.0);
}

#[test]
fn longest_prompts_are_served_like_others_at_the_usual_load() {
    check_load(1.0);
}

#[test]
fn longest_prompts_are_served_like_others_in_a_burst() {
    check_load(1.7);
}

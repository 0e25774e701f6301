//! Prompts that crash engines.

use std::collections::HashSet;

use bolero::{TypeGenerator, check, produce};
use oleanderpost_serving::{CrashLedger, PartId, Quarantine, ServiceName, UpstreamId};

fn prompt(text: &str) -> Vec<PartId> {
    text.split(' ').map(PartId::new).collect()
}

fn service() -> ServiceName {
    ServiceName::new("llm")
}

/// Crashes a new engine while it has these prompts to answer.
fn crash(ledger: &mut CrashLedger, at: f64, prompts: &[&str]) {
    let engine = UpstreamId::new(&format!("engine-{at}"));
    ledger.note_crash(at, &engine, prompts.iter().map(|text| prompt(text)));
}

/// Lets a request run on an engine that does not crash.
fn serve(ledger: &mut CrashLedger, at: f64, text: &str) {
    ledger.note_start(at, &UpstreamId::new("sound"), &prompt(text));
    ledger.note_start(at + 200.0, &UpstreamId::new("sound"), &[]);
}

fn is_refused(ledger: &CrashLedger, now: f64, text: &str) -> bool {
    ledger.quarantine_left(now, &prompt(text)).is_some()
}

#[test]
fn part_is_quarantined_after_three_crashes() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 0.0, &["system bad own-1", "system a own-2"]);
    crash(&mut ledger, 500.0, &["system bad own-3"]);
    assert!(!is_refused(&ledger, 600.0, "system bad own-9"));
    crash(&mut ledger, 1_000.0, &["system bad own-4", "other b own-5"]);
    assert!(is_refused(&ledger, 1_000.0, "system bad own-9"));
    for sound in ["system a own-9", "system own-9", "other b own-9"] {
        assert!(!is_refused(&ledger, 1_000.0, sound), "{sound}");
    }
}

#[test]
fn parts_beside_the_crashing_one_are_told_apart_once_they_are_served() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 500.0, &["system bad own"]);
    }
    assert!(!is_refused(&ledger, 1_500.0, "other bad own-2"));
    serve(&mut ledger, 1_500.0, "system own");
    assert!(is_refused(&ledger, 2_000.0, "other bad own-2"));
    assert!(!is_refused(&ledger, 2_000.0, "system own"));
}

#[test]
fn request_that_is_retried_alone_does_not_hide_the_part_from_others() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 500.0, &["system bad own-1"]);
    }
    crash(&mut ledger, 1_500.0, &["system bad own-2"]);
    assert!(is_refused(&ledger, 1_500.0, "system bad own-3"));
}

#[test]
fn crash_with_the_shared_part_alone_does_not_refuse_all_its_callers() {
    let mut ledger = CrashLedger::default();
    for (n, own) in ["a", "b", "c"].iter().enumerate() {
        let text = format!("system bad {own}");
        crash(&mut ledger, n as f64 * 500.0, &[&text]);
    }
    crash(&mut ledger, 1_500.0, &["system d"]);
    assert!(is_refused(&ledger, 1_500.0, "system bad e"));
    assert!(!is_refused(&ledger, 1_500.0, "system e"));
}

#[test]
fn engines_that_fail_together_are_no_evidence() {
    let mut ledger = CrashLedger::default();
    for n in 0..8 {
        crash(&mut ledger, f64::from(n) * 10.0, &["system a own"]);
    }
    assert!(!is_refused(&ledger, 100.0, "system a own"));
}

/// Lets six engines crash within some milliseconds, of which one has a prompt with the part.
fn crash_many(ledger: &mut CrashLedger, at: f64, part: &str) {
    for n in 0..6 {
        let at = at + f64::from(n);
        let text = if n == 0 {
            format!("{part} own-{at}")
        } else {
            format!("other-{at} own-{at}")
        };
        crash(ledger, at, &[&text]);
        ledger.confirm_crash(at, at, &UpstreamId::new(&format!("engine-{at}")));
    }
}

#[test]
fn part_at_one_of_many_crashes_at_once_is_not_refused() {
    let mut ledger = CrashLedger::default();
    for n in 0..4 {
        crash_many(&mut ledger, f64::from(n) * 1_000.0, "system");
    }
    assert!(!is_refused(&ledger, 4_000.0, "system own"));
}

#[test]
fn part_that_goes_on_crashing_beside_others_is_refused() {
    let mut ledger = CrashLedger::default();
    for n in 0..6 {
        crash_many(&mut ledger, f64::from(n) * 1_000.0, "bad");
    }
    assert!(is_refused(&ledger, 6_000.0, "bad own"));
}

#[test]
fn connection_that_fails_before_the_engine_does_not_hide_the_crash() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        let at = f64::from(n) * 500.0;
        crash(&mut ledger, at, &["system a lost"]);
        let engine = UpstreamId::new(&format!("engine-{at}"));
        ledger.note_crash(at + 200.0, &engine, [prompt(&format!("system bad {n}"))]);
    }
    assert!(is_refused(&ledger, 1_500.0, "system bad own"));
}

#[test]
fn engine_that_answers_later_has_not_crashed() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 500.0, &["system bad own"]);
    }
    assert!(is_refused(&ledger, 1_000.0, "system bad own"));
    ledger.note_alive(1_500.0, &UpstreamId::new("engine-500"));
    assert!(!is_refused(&ledger, 1_500.0, "system bad own"));
}

#[test]
fn quarantine_ends_and_one_more_crash_renews_it_for_longer() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 500.0, &["bad own"]);
    }
    let first = ledger.quarantine_left(1_000.0, &prompt("bad own")).unwrap();
    let end = 1_000.0 + first + 1.0;
    assert!(!is_refused(&ledger, end, "bad own"));
    crash(&mut ledger, end, &["bad own"]);
    let second = ledger.quarantine_left(end, &prompt("bad own")).unwrap();
    assert!(second > first * 1.9, "{first} {second}");
}

#[test]
fn quarantine_is_learned_until_a_request_with_the_parts_is_sound() {
    let mut ledger = CrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 500.0, &["system bad own"]);
    }
    let known = ledger.quarantines(1_000.0, &service());
    let mut other = CrashLedger::default();
    other.learn(50.0, &known);
    other.learn(60.0, &known);
    assert_eq!(other.quarantines(60.0, &service()).len(), 1);
    assert!(is_refused(&other, 60.0, "system bad own"));
    serve(&mut other, 100.0, "own");
    assert!(is_refused(&other, 400.0, "system bad other"));
    let late = 100.0 + known[0].left_ms;
    assert!(!is_refused(&other, late, "system bad own"));
}

#[test]
fn invalid_quarantines_of_other_nodes_are_ignored() {
    let mut ledger = CrashLedger::default();
    let quarantine = |parts: Vec<PartId>, left_ms| Quarantine {
        service: service(),
        parts,
        age_ms: 0.0,
        left_ms,
    };
    let invalid = [
        quarantine(Vec::new(), 1e6),
        quarantine(prompt("a"), -1.0),
        quarantine(prompt("a"), f64::NAN),
    ];
    ledger.learn(0.0, &invalid);
    assert!(ledger.quarantines(0.0, &service()).is_empty());
    ledger.learn(0.0, &[quarantine(prompt("a"), f64::INFINITY)]);
    let left = ledger.quarantine_left(0.0, &prompt("a")).unwrap();
    assert!(left <= 3_600_000.0, "{left}");
}

/// One request or event of a simulated service with engines that crash on the part `p0`.
#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Request { first: u8, second: u8, engine: u8 },
    Restart { engine: u8 },
    ResetConnection { engine: u8 },
    Wait { ms: u8 },
}

const ENGINES: usize = 6;
/// Number of steps; one in sixteen is a request with the part.
const STEPS: usize = 400;
/// Enough for these steps.
const MAX_INPUT_BYTES: usize = 16_384;

#[derive(Default)]
struct Service {
    now: f64,
    ledger: CrashLedger,
    boots: [u32; ENGINES],
    down: [bool; ENGINES],
    crashes: usize,
    next_own: usize,
}

impl Service {
    fn engine(&self, engine: usize) -> UpstreamId {
        UpstreamId::new(&format!("{engine}-{}", self.boots[engine]))
    }

    fn request(&mut self, first: u8, second: u8, engine: u8) {
        let engine = usize::from(engine) % ENGINES;
        self.next_own += 1;
        let text = format!("s{} p{} own-{}", first % 3, second % 4, self.next_own);
        if self.down[engine] || is_refused(&self.ledger, self.now, &text) {
            return;
        }
        let prompt = prompt(&text);
        if prompt.contains(&PartId::new("p0")) {
            let id = self.engine(engine);
            self.ledger.note_crash(self.now, &id, [prompt]);
            self.down[engine] = true;
            self.crashes += 1;
        } else {
            let id = self.engine(engine);
            self.ledger.note_start(self.now, &id, &prompt);
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request {
                first,
                second,
                engine,
            } => self.request(first, second, engine),
            Step::Restart { engine } => {
                let engine = usize::from(engine) % ENGINES;
                self.boots[engine] += u32::from(self.down[engine]);
                self.down[engine] = false;
            }
            Step::ResetConnection { engine } => {
                let engine = usize::from(engine) % ENGINES;
                if !self.down[engine] {
                    let id = self.engine(engine);
                    let prompts = [prompt(&format!("s1 p1 lost-{}", self.next_own))];
                    self.ledger.note_crash(self.now, &id, prompts);
                }
            }
            Step::Wait { ms } => self.now += f64::from(ms) * 4.0,
        }
    }
}

#[test]
fn crashes_on_a_part_are_bounded_whatever_else_happens() {
    check!()
        .with_max_len(MAX_INPUT_BYTES)
        .with_generator(produce::<Vec<Step>>().with().len(STEPS))
        .for_each(|steps: &Vec<Step>| {
            let mut service = Service::default();
            let mut at = HashSet::new();
            for step in steps {
                let before = service.crashes;
                service.step(step);
                if service.crashes > before {
                    at.insert((service.now / 100.0) as u64);
                }
            }
            // Three crashes for each of the three parts that may stand beside the part, while nothing shows that they
            // are sound; crashes within an incident count once.
            assert!(at.len() <= 18, "{} crashes", service.crashes);
        });
}

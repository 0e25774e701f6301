//! Requests that crash the upstreams that run them.

use std::collections::HashMap;

use bolero::{TypeGenerator, check, produce};
use oleanderpost_serving::{
    RequestCrash, RequestCrashLedger, RequestFingerprint, RequestQuarantine, UpstreamId,
};

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::from_fields([name.as_bytes()])
}

fn report(name: &str, upstream: &str, started_at: Option<u64>) -> RequestCrash {
    RequestCrash {
        request: request(name),
        upstream: UpstreamId::new(upstream),
        started_at,
        age_ms: 0.0,
    }
}

/// Crashes a new upstream while it has these requests.
fn crash(ledger: &mut RequestCrashLedger, at: f64, names: &[&str]) {
    for name in names {
        ledger.note_crash(at, &report(name, &format!("upstream-{at}"), None));
    }
}

fn quarantine_ms(ledger: &RequestCrashLedger, now: f64, name: &str) -> f64 {
    ledger.quarantine_left(now, request(name)).unwrap_or(0.0)
}

#[test]
fn request_is_quarantined_after_three_crashes() {
    let mut ledger = RequestCrashLedger::default();
    crash(&mut ledger, 0.0, &["deadly", "a"]);
    crash(&mut ledger, 200.0, &["deadly", "b"]);
    assert_eq!(quarantine_ms(&ledger, 200.0, "deadly"), 0.0);
    crash(&mut ledger, 400.0, &["deadly"]);
    assert_eq!(quarantine_ms(&ledger, 400.0, "deadly"), 300_000.0);
    assert_eq!(quarantine_ms(&ledger, 400.0, "a"), 0.0);
}

#[test]
fn crash_that_is_reported_again_counts_once() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..5 {
        ledger.note_crash(f64::from(n) * 100.0, &report("a", "one", Some(1)));
    }
    assert_eq!(quarantine_ms(&ledger, 500.0, "a"), 0.0);
    let late = RequestCrash {
        age_ms: 5_000.0,
        ..report("a", "one", Some(1))
    };
    ledger.note_crash(5_000.0, &late);
    assert!(ledger.verdicts(5_000.0).suspects.is_empty());
}

#[test]
fn crashes_of_an_upstream_that_keeps_its_identifier_count_each() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..3 {
        ledger.note_crash(n as f64 * 200.0, &report("deadly", "one", Some(n)));
    }
    assert!(quarantine_ms(&ledger, 400.0, "deadly") > 0.0);
    let mut ledger = RequestCrashLedger::default();
    for n in 0..3 {
        ledger.note_crash(f64::from(n) * 1_500.0, &report("deadly", "one", None));
    }
    assert!(quarantine_ms(&ledger, 3_000.0, "deadly") > 0.0);
}

#[test]
fn complete_response_clears_a_request() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 200.0, &["popular"]);
    }
    assert!(quarantine_ms(&ledger, 400.0, "popular") > 0.0);
    ledger.note_sound(500.0, request("popular"));
    assert_eq!(quarantine_ms(&ledger, 500.0, "popular"), 0.0);
    crash(&mut ledger, 600.0, &["popular"]);
    crash(&mut ledger, 800.0, &["popular"]);
    assert_eq!(quarantine_ms(&ledger, 800.0, "popular"), 0.0);
}

#[test]
fn loss_of_a_rack_refuses_a_request_for_two_seconds_only() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..8 {
        crash(&mut ledger, f64::from(n) * 10.0, &["popular"]);
    }
    assert_eq!(quarantine_ms(&ledger, 70.0, "popular"), 2_000.0);
    assert_eq!(quarantine_ms(&ledger, 2_070.0, "popular"), 0.0);
}

#[test]
fn request_at_one_of_many_crashes_at_once_is_refused_for_two_seconds_only() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..3 {
        let at = f64::from(n) * 1_000.0;
        crash(&mut ledger, at, &["stream"]);
        for other in 1..6 {
            let name = format!("other-{n}-{other}");
            crash(&mut ledger, at + f64::from(other), &[&name]);
        }
    }
    assert_eq!(quarantine_ms(&ledger, 2_000.0, "stream"), 2_000.0);
}

#[test]
fn request_that_goes_on_crashing_beside_others_is_quarantined() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..6 {
        let at = f64::from(n) * 1_000.0;
        crash(&mut ledger, at, &["deadly"]);
        crash(&mut ledger, at + 1.0, &[&format!("other-{n}")]);
    }
    assert!(quarantine_ms(&ledger, 5_001.0, "deadly") >= 300_000.0 - 1.0);
}

#[test]
fn requests_at_the_same_crashes_are_told_apart_by_the_next_one() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 200.0, &["deadly", "retried"]);
    }
    for name in ["deadly", "retried"] {
        assert_eq!(quarantine_ms(&ledger, 400.0, name), 2_000.0, "{name}");
    }
    crash(&mut ledger, 2_500.0, &["deadly"]);
    assert!(quarantine_ms(&ledger, 2_500.0, "deadly") > 300_000.0);
    assert_eq!(quarantine_ms(&ledger, 2_500.0, "retried"), 0.0);
}

#[test]
fn quarantine_ends_and_one_more_crash_renews_it_for_longer() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 200.0, &["deadly"]);
    }
    let end = 400.0 + 300_000.0;
    assert_eq!(quarantine_ms(&ledger, end, "deadly"), 0.0);
    crash(&mut ledger, end, &["deadly"]);
    assert_eq!(quarantine_ms(&ledger, end, "deadly"), 600_000.0);
    for n in 1..10 {
        crash(&mut ledger, end + f64::from(n), &["deadly"]);
    }
    assert!(quarantine_ms(&ledger, end + 10.0, "deadly") <= 3_600_000.0);
}

#[test]
fn quarantine_is_learned_until_a_response_is_complete() {
    let mut ledger = RequestCrashLedger::default();
    for n in 0..3 {
        crash(&mut ledger, f64::from(n) * 200.0, &["deadly"]);
    }
    let known = ledger.verdicts(1_400.0).quarantines;
    let mut other = RequestCrashLedger::default();
    other.learn(50.0, &known);
    other.learn(60.0, &known);
    assert_eq!(other.verdicts(60.0).quarantines.len(), 1);
    assert_eq!(quarantine_ms(&other, 50.0, "deadly"), 299_000.0);
    other.note_sound(100.0, request("deadly"));
    other.learn(110.0, &known);
    assert_eq!(quarantine_ms(&other, 110.0, "deadly"), 0.0);
}

#[test]
fn quarantines_of_other_nodes_with_invalid_times_are_ignored() {
    let mut ledger = RequestCrashLedger::default();
    for left_ms in [f64::NAN, f64::NEG_INFINITY, -1.0, 0.0] {
        let quarantine = RequestQuarantine {
            request: request("a"),
            age_ms: 0.0,
            left_ms,
        };
        ledger.learn(0.0, &[quarantine]);
    }
    assert!(ledger.verdicts(0.0).quarantines.is_empty());
    let endless = RequestQuarantine {
        request: request("a"),
        age_ms: f64::NAN,
        left_ms: f64::INFINITY,
    };
    ledger.learn(0.0, &[endless]);
    assert!(quarantine_ms(&ledger, 0.0, "a") <= 3_600_000.0);
    for n in 0..3 {
        let invalid = RequestCrash {
            age_ms: f64::NAN,
            ..report("b", &format!("upstream-{n}"), None)
        };
        ledger.note_crash(f64::from(n) * 200.0, &invalid);
    }
    assert!(quarantine_ms(&ledger, 400.0, "b") <= 3_600_000.0);
}

/// Number of requests besides the one that crashes upstreams.
const SOUND_REQUESTS: usize = 4;
/// Time after the third crash from which on few repetitions may reach upstreams, in milliseconds.
const GRACE_MS: f64 = 3_000.0;
/// Number of these.
const MAX_LATE_CRASHES: usize = 3;
/// Maximum number of generated bytes.
const MAX_INPUT_BYTES: usize = 4_096;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// The request that crashes upstreams arrives; the upstream also has some of the others.
    Deadly {
        others: u8,
    },
    /// Upstreams crash for another reason while they have some of the other requests.
    Crash {
        upstreams: u8,
        others: u8,
    },
    /// Another request gets a complete response, if it is not refused.
    Respond {
        other: u8,
    },
    /// A report arrives once more.
    Repeat,
    Wait {
        ms: u8,
    },
}

#[derive(Default)]
struct Simulation {
    now: f64,
    ledger: RequestCrashLedger,
    crashes: u64,
    deadly_crashes: Vec<f64>,
    last_reports: Vec<(f64, RequestCrash)>,
    /// Crashes since the last complete response, by request.
    unsound: HashMap<String, usize>,
}

impl Simulation {
    fn is_refused(&self, name: &str) -> bool {
        quarantine_ms(&self.ledger, self.now, name) > 0.0
    }

    fn others(&self, mask: u8) -> Vec<String> {
        let names = (0..SOUND_REQUESTS).filter(|n| mask & (1 << n) != 0);
        let names = names.map(|n| format!("sound-{n}"));
        names.filter(|name| !self.is_refused(name)).collect()
    }

    fn crash(&mut self, names: &[String]) {
        self.crashes += 1;
        self.last_reports.clear();
        for name in names {
            let report = report(name, &format!("upstream-{}", self.crashes), None);
            self.ledger.note_crash(self.now, &report);
            self.last_reports.push((self.now, report));
            *self.unsound.entry(name.clone()).or_default() += 1;
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Deadly { others } => {
                if self.is_refused("deadly") {
                    return;
                }
                let mut names = self.others(others);
                names.push("deadly".to_owned());
                self.crash(&names);
                self.deadly_crashes.push(self.now);
            }
            Step::Crash { upstreams, others } => {
                let names = self.others(others);
                for _ in 0..upstreams % 8 {
                    self.crash(&names);
                }
            }
            Step::Respond { other } => {
                let name = format!("sound-{}", usize::from(other) % SOUND_REQUESTS);
                if !self.is_refused(&name) {
                    self.ledger.note_sound(self.now, request(&name));
                    self.unsound.remove(&name);
                }
            }
            Step::Repeat => {
                for (at, report) in &self.last_reports {
                    let age_ms = self.now - at;
                    let report = RequestCrash {
                        age_ms,
                        ..report.clone()
                    };
                    self.ledger.note_crash(self.now, &report);
                }
            }
            Step::Wait { ms } => self.now += f64::from(ms) * 8.0,
        }
    }

    fn check(&self) {
        if let Some(third) = self.deadly_crashes.get(2) {
            let late = self
                .deadly_crashes
                .iter()
                .filter(|at| **at > third + GRACE_MS);
            // A quarantine may end and be renewed later than the first five minutes.
            let late = late.filter(|at| **at < third + 300_000.0).count();
            assert!(late <= MAX_LATE_CRASHES, "{late} late crashes");
        }
        for n in 0..SOUND_REQUESTS {
            let name = format!("sound-{n}");
            let crashes = self.unsound.get(&name).copied().unwrap_or(0);
            assert!(
                crashes >= 3 || !self.is_refused(&name),
                "{name} is refused after {crashes} crashes"
            );
        }
    }
}

#[test]
fn repetitions_are_bounded_and_sound_requests_served_whatever_else_happens() {
    check!()
        .with_max_len(MAX_INPUT_BYTES)
        .with_generator(produce::<Vec<Step>>().with().len(0usize..200))
        .for_each(|steps: &Vec<Step>| {
            let mut simulation = Simulation::default();
            for step in steps {
                simulation.step(*step);
                simulation.check();
            }
        });
}

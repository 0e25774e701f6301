//! Requests as the callers of both fleets send them.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha20Rng;

/// A kind of request. Times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) per_s: f64,
    pub(crate) prompt: f64,
    /// Standard deviation of the logarithm of the prompt's length.
    pub(crate) spread: f64,
    pub(crate) longest: f64,
    pub(crate) answer: f64,
    pub(crate) objective_ms: f64,
    pub(crate) pause_ms: f64,
    pub(crate) deadline_ms: f64,
    /// Worth of an answer in time, and of a late one.
    pub(crate) worth: (f64, f64),
}

pub(crate) const LETTER: Kind = Kind {
    name: "letter",
    per_s: 29.7,
    prompt: 4_960.0,
    spread: 0.75,
    longest: 23_800.0,
    answer: 1_376.0,
    objective_ms: 300.0,
    pause_ms: 250.0,
    deadline_ms: 10_000.0,
    worth: (1.3, 0.33),
};

pub(crate) const SUMMARY: Kind = Kind {
    name: "summary",
    per_s: 1.62,
    prompt: 45_000.0,
    spread: 0.45,
    longest: 110_000.0,
    answer: 817.0,
    objective_ms: 1_500.0,
    pause_ms: 600.0,
    deadline_ms: 10_000.0,
    worth: (3.9, 0.98),
};

pub(crate) const DOSSIER: Kind = Kind {
    name: "dossier",
    per_s: 1.37,
    prompt: 133_000.0,
    spread: 0.5,
    longest: 600_000.0,
    answer: 679.0,
    objective_ms: 3_000.0,
    pause_ms: 1_000.0,
    deadline_ms: 15_000.0,
    worth: (15.0, 3.7),
};

/// One request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Request {
    pub(crate) at: f64,
    pub(crate) kind: Kind,
    pub(crate) prompt: f64,
    pub(crate) answer: f64,
}

/// Requests of `kinds`, each with a factor on its rate, from `from` to `until`.
pub(crate) fn mix(seed: u64, kinds: &[(Kind, f64)], from: f64, until: f64) -> Vec<Request> {
    let mut rng = ChaCha20Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (kind, factor) in kinds {
        let mut at = from;
        loop {
            let draw: f64 = rng.random_range(1e-9..1.0);
            at += -draw.ln() * 1e3 / (kind.per_s * factor);
            if at >= until {
                break;
            }
            let prompt = log_normal(&mut rng, kind.prompt, kind.spread).min(kind.longest);
            let answer = log_normal(&mut rng, kind.answer, 0.5).min(kind.answer * 2.5);
            requests.push(Request {
                at,
                kind: *kind,
                prompt,
                answer,
            });
        }
    }
    requests.sort_by(|a, b| a.at.total_cmp(&b.at));
    requests
}

/// The turn-over of the sheets' heaviest days: many letters, then many dossiers, then many letters.
pub(crate) fn burst_of_dossiers(seed: u64) -> Vec<Request> {
    let letters = [(LETTER, 2.4), (SUMMARY, 0.5), (DOSSIER, 0.05)];
    let dossiers = [(LETTER, 0.35), (SUMMARY, 1.3), (DOSSIER, 2.65)];
    let mut requests = mix(seed, &letters, 0.0, 9_500.0);
    requests.extend(mix(seed + 1_000, &dossiers, 10_000.0, 19_500.0));
    requests.extend(mix(seed + 2_000, &letters, 20_500.0, 30_000.0));
    requests
}

/// Log-normal number with this mean.
fn log_normal(rng: &mut ChaCha20Rng, mean: f64, spread: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random_range(0.0..1.0));
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (normal * spread - spread * spread / 2.0).exp()
}

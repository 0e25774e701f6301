//! Request loads as in the two fleets in production.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha20Rng;

/// Number of client accounts.
const ACCOUNTS: usize = 24;

/// A kind of request. Times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) rate_per_s: f64,
    pub(crate) prompt: f64,
    /// Standard deviation of the logarithm of the prompt length.
    pub(crate) log_std_dev: f64,
    pub(crate) max_prompt: f64,
    pub(crate) answer: f64,
    pub(crate) objective_ms: f64,
    pub(crate) pause_ms: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) priority: u8,
}

impl Kind {
    /// Time without an event after which callers give up, as stated in `docs/design/hard-load.md`.
    pub(crate) fn patience_ms(&self) -> f64 {
        let per_pause = self.pause_ms * 8.0;
        (self.objective_ms * 4.0).max(per_pause).max(2_000.0)
    }
}

pub(crate) const SHORT: Kind = Kind {
    name: "short",
    rate_per_s: 29.7,
    prompt: 4_960.0,
    log_std_dev: 0.75,
    max_prompt: 23_800.0,
    answer: 1_376.0,
    objective_ms: 300.0,
    pause_ms: 250.0,
    deadline_ms: 10_000.0,
    priority: 1,
};

pub(crate) const MEDIUM: Kind = Kind {
    name: "medium",
    rate_per_s: 1.62,
    prompt: 45_000.0,
    log_std_dev: 0.45,
    max_prompt: 110_000.0,
    answer: 817.0,
    objective_ms: 1_500.0,
    pause_ms: 600.0,
    deadline_ms: 10_000.0,
    priority: 1,
};

pub(crate) const LONG: Kind = Kind {
    name: "long",
    rate_per_s: 1.37,
    prompt: 133_000.0,
    log_std_dev: 0.5,
    max_prompt: 600_000.0,
    answer: 679.0,
    objective_ms: 3_000.0,
    pause_ms: 1_000.0,
    deadline_ms: 15_000.0,
    priority: 1,
};

/// A single request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Request {
    pub(crate) at: f64,
    /// Request that the caller repeats after a rejection.
    pub(crate) retry_of: Option<usize>,
    /// Time between the arrival of that request and this one, in milliseconds.
    pub(crate) earlier_ms: f64,
    /// Client account, the largest first.
    pub(crate) account: usize,
    pub(crate) kind: Kind,
    pub(crate) prompt: f64,
    pub(crate) answer: f64,
}

impl Request {
    /// Time at which the caller no longer needs the answer.
    pub(crate) fn deadline(&self) -> f64 {
        self.at - self.earlier_ms + self.kind.deadline_ms
    }
}

/// Generates requests of several kinds between `from` and `until`; each kind comes with a factor on its
/// rate.
pub(crate) fn mix(seed: u64, kinds: &[(Kind, f64)], from: f64, until: f64) -> Vec<Request> {
    let mut rng = ChaCha20Rng::seed_from_u64(seed);
    let mut account_rng = ChaCha20Rng::seed_from_u64(seed + 500);
    let mut requests = Vec::new();
    for (kind, factor) in kinds {
        let mut at = from;
        loop {
            let draw: f64 = rng.random_range(1e-9..1.0);
            at += -draw.ln() * 1e3 / (kind.rate_per_s * factor);
            if at >= until {
                break;
            }
            let prompt = log_normal(&mut rng, kind.prompt, kind.log_std_dev).min(kind.max_prompt);
            let answer = log_normal(&mut rng, kind.answer, 0.5).min(kind.answer * 2.5);
            requests.push(Request {
                at,
                retry_of: None,
                earlier_ms: 0.0,
                account: draw_account(&mut account_rng),
                kind: *kind,
                prompt,
                answer,
            });
        }
    }
    requests.sort_by(|a, b| a.at.total_cmp(&b.at));
    requests
}

/// Load of the heaviest days that the users specify: mostly short prompts, then many long ones, then mostly
/// short ones.
pub(crate) fn burst_of_long_prompts(seed: u64) -> Vec<Request> {
    let mostly_short = [(SHORT, 2.4), (MEDIUM, 0.5), (LONG, 0.05)];
    let mostly_long = [(SHORT, 0.35), (MEDIUM, 1.3), (LONG, 2.65)];
    let mut requests = mix(seed, &mostly_short, 0.0, 9_500.0);
    requests.extend(mix(seed + 1_000, &mostly_long, 10_000.0, 19_500.0));
    requests.extend(mix(seed + 2_000, &mostly_short, 20_500.0, 30_000.0));
    requests
}

/// Draws a client account; the share of the n-th largest is proportional to 1/n.
fn draw_account(rng: &mut ChaCha20Rng) -> usize {
    let total: f64 = (1..=ACCOUNTS).map(|n| 1.0 / n as f64).sum();
    let mut draw = rng.random_range(0.0..total);
    (1..ACCOUNTS)
        .find(|n| {
            draw -= 1.0 / *n as f64;
            draw < 0.0
        })
        .map_or(ACCOUNTS - 1, |n| n - 1)
}

/// Draws a log-normal number with the given mean.
fn log_normal(rng: &mut ChaCha20Rng, mean: f64, log_std_dev: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random_range(0.0..1.0));
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (normal * log_std_dev - log_std_dev * log_std_dev / 2.0).exp()
}

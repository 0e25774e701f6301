//! [`FirstTokenModel`].

use std::time::Duration;

use oleanderpost_types::Tokens;
use serde::{Deserialize, Serialize};

use crate::PrefillBacklog;

/// Number of coefficients.
const FEATURE_COUNT: usize = 3;
/// Factor by which the weight of earlier observations decays with each new one.
const FORGETTING_FACTOR: f64 = 0.995;
/// Initial variance of each coefficient.
const INITIAL_VARIANCE: f64 = 10.0;
/// Trace of the covariance matrix above which forgetting is suspended.
const MAX_COVARIANCE_TRACE: f64 = 1e4;
/// Scale of the feature for prefill tokens.
const TOKEN_SCALE: f64 = 1e4;
/// Scale of the feature for attention work, in token pairs.
const PAIR_SCALE: f64 = 1e10;
/// Scale of the feature for the step duration, in seconds.
const STEP_SCALE: f64 = 0.1;

/// Work to be done before the first token of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillWork {
    /// Duration of the engine's current step in seconds.
    pub step_seconds: f64,
    /// Tokens to prefill.
    pub tokens: f64,
    /// Token pairs for which attention is computed.
    pub pairs: f64,
}

impl PrefillWork {
    /// Returns the work of one prompt, of which `cached` tokens need no prefill.
    #[must_use]
    pub fn with_prompt(prompt: Tokens, cached: Tokens) -> Self {
        let (prompt, cached) = (prompt.get() as f64, cached.get().min(prompt.get()) as f64);
        Self {
            step_seconds: 0.0,
            tokens: prompt - cached,
            pairs: (prompt * prompt - cached * cached) / 2.0,
        }
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            step_seconds: self.step_seconds + other.step_seconds,
            tokens: self.tokens + other.tokens,
            pairs: self.pairs + other.pairs,
        }
    }

    /// Replaces the step duration.
    #[must_use]
    pub fn with_step(self, step_seconds: f64) -> Self {
        Self {
            step_seconds,
            ..self
        }
    }

    /// Scales tokens and pairs by `share`.
    #[must_use]
    pub fn scaled(self, share: f64) -> Self {
        Self {
            step_seconds: self.step_seconds,
            tokens: self.tokens * share,
            pairs: self.pairs * share,
        }
    }

    fn features(self) -> [f64; FEATURE_COUNT] {
        [
            self.step_seconds / STEP_SCALE,
            self.tokens / TOKEN_SCALE,
            self.pairs / PAIR_SCALE,
        ]
    }
}

impl From<PrefillWork> for PrefillBacklog {
    fn from(work: PrefillWork) -> Self {
        Self {
            tokens: Tokens::new(work.tokens as u64),
            pairs: work.pairs as u64,
        }
    }
}

impl From<PrefillBacklog> for PrefillWork {
    fn from(backlog: PrefillBacklog) -> Self {
        Self {
            step_seconds: 0.0,
            tokens: backlog.tokens.get() as f64,
            pairs: backlog.pairs as f64,
        }
    }
}

/// Learned time to first token of one engine: linear in step duration, tokens and attention work.
///
/// Fitted by recursive least squares on relative errors, so that short prompts count as much as long ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstTokenModel {
    weights: [f64; FEATURE_COUNT],
    #[serde(skip)]
    covariance: [[f64; FEATURE_COUNT]; FEATURE_COUNT],
    seen: u64,
}

impl Default for FirstTokenModel {
    fn default() -> Self {
        let mut covariance = [[0.0; FEATURE_COUNT]; FEATURE_COUNT];
        for (i, row) in covariance.iter_mut().enumerate() {
            row[i] = INITIAL_VARIANCE;
        }
        Self {
            weights: [0.1, 0.1, 0.1],
            covariance,
            seen: 0,
        }
    }
}

impl FirstTokenModel {
    /// Creates a model with the coefficients of another one and the initial covariance.
    #[must_use]
    pub fn with_prior(prior: &Self) -> Self {
        Self {
            weights: prior.weights,
            seen: prior.seen,
            ..Self::default()
        }
    }

    /// Estimates the time until the work is done.
    #[must_use]
    pub fn estimate(&self, work: PrefillWork) -> Duration {
        Duration::from_secs_f64(self.estimate_seconds(work).clamp(0.0, 1e6))
    }

    /// Number of observations.
    #[must_use]
    pub const fn observations(&self) -> u64 {
        self.seen
    }

    /// Coefficients, for the state dump.
    #[must_use]
    pub const fn weights(&self) -> [f64; FEATURE_COUNT] {
        self.weights
    }

    /// Updates the model with an observed time.
    pub fn observe(&mut self, work: PrefillWork, observed: Duration) {
        let observed = observed.as_secs_f64().max(1e-3);
        let features = work.features().map(|feature| feature / observed);
        let gain = self.gain(&features);
        let error = 1.0 - dot(&self.weights, &features);
        for (weight, gain) in self.weights.iter_mut().zip(gain) {
            *weight = (*weight + gain * error).max(0.0);
        }
        self.update_covariance(&features, &gain);
        self.seen += 1;
    }

    fn estimate_seconds(&self, work: PrefillWork) -> f64 {
        dot(&self.weights, &work.features())
    }

    fn covariance_times(&self, features: &[f64; FEATURE_COUNT]) -> [f64; FEATURE_COUNT] {
        std::array::from_fn(|i| dot(&self.covariance[i], features))
    }

    fn gain(&self, features: &[f64; FEATURE_COUNT]) -> [f64; FEATURE_COUNT] {
        let projection = self.covariance_times(features);
        let divisor = FORGETTING_FACTOR + dot(&projection, features);
        projection.map(|value| value / divisor)
    }

    fn update_covariance(&mut self, features: &[f64; FEATURE_COUNT], gain: &[f64; FEATURE_COUNT]) {
        let projection = self.covariance_times(features);
        for (i, row) in self.covariance.iter_mut().enumerate() {
            for (j, value) in row.iter_mut().enumerate() {
                *value -= gain[i] * projection[j];
            }
        }
        let trace: f64 = (0..FEATURE_COUNT).map(|i| self.covariance[i][i]).sum();
        if trace < MAX_COVARIANCE_TRACE {
            self.covariance
                .iter_mut()
                .flatten()
                .for_each(|v| *v /= FORGETTING_FACTOR);
        }
    }
}

fn dot(a: &[f64; FEATURE_COUNT], b: &[f64; FEATURE_COUNT]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

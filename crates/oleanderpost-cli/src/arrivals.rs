//! [`Arrivals`] and [`Arrival`].

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use oleanderpost::types::Tokens;

use crate::{LoadAccount, Phase, PromptMix};

/// One request of a load run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Arrival {
    /// Intended time of arrival, since the start of the run.
    pub(crate) offset: Duration,
    /// Index of the load phase.
    pub(crate) phase_index: usize,
    /// Index of the client account.
    pub(crate) account_index: usize,
    /// Length of the prompt.
    pub(crate) prompt_len: Tokens,
    /// Seed of the prompt's content.
    pub(crate) prompt_seed: u64,
    /// Random part of the request key.
    pub(crate) key_bytes: [u8; 10],
}

/// Sequence of requests derived from a seed: in each phase, arrivals form a Poisson process.
#[derive(Debug)]
pub(crate) struct Arrivals {
    phases: Vec<Phase>,
    mix: PromptMix,
    account_weights: Vec<f64>,
    rng: ChaCha8Rng,
    phase_index: usize,
    phase_start: Duration,
    now: Duration,
}

impl Arrivals {
    pub(crate) fn new(
        phases: Vec<Phase>,
        mix: PromptMix,
        accounts: &[LoadAccount],
        seed: u64,
    ) -> Self {
        Self {
            phases,
            mix,
            account_weights: accounts.iter().map(|account| account.weight).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            phase_index: 0,
            phase_start: Duration::ZERO,
            now: Duration::ZERO,
        }
    }

    /// Index of a random account, chosen in proportion to the weights.
    fn draw_account(&mut self) -> usize {
        let total: f64 = self.account_weights.iter().sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for (i, weight) in self.account_weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return i;
            }
        }
        0
    }

    /// Random time until the next arrival. The intervals of a Poisson process are exponentially distributed.
    fn draw_interval(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let phase = *self.phases.get(self.phase_index)?;
            let end = self.phase_start + phase.duration;
            if phase.rate > 0.0 {
                let interval = self.draw_interval(phase.rate);
                self.now += interval;
                if self.now < end {
                    break;
                }
            }
            self.now = end;
            self.phase_start = end;
            self.phase_index += 1;
        }
        let mut key_bytes = [0; 10];
        self.rng.fill_bytes(&mut key_bytes);
        Some(Arrival {
            offset: self.now,
            phase_index: self.phase_index,
            account_index: self.draw_account(),
            prompt_len: self.mix.draw(&mut self.rng),
            prompt_seed: self.rng.random(),
            key_bytes,
        })
    }
}

//! [`PromptMix`].

use rand::{Rng, RngExt};

use oleanderpost::types::Tokens;

/// Distribution of prompt lengths: log-uniform within the short prompts and within the long prompts.
#[derive(Clone, Debug, clap::Args)]
pub struct PromptMix {
    /// Shortest prompt, in tokens.
    #[arg(long, default_value = "1000", value_name = "TOKENS")]
    pub shortest: Tokens,
    /// Longest prompt, in tokens.
    #[arg(long, default_value = "1000000", value_name = "TOKENS")]
    pub longest: Tokens,
    /// Length above which a prompt counts as long, in tokens.
    #[arg(long, default_value = "100000", value_name = "TOKENS")]
    pub long_over: Tokens,
    /// Share of long prompts, from 0 to 1.
    #[arg(long, default_value_t = 0.02, value_name = "SHARE")]
    pub long_share: f64,
}

impl PromptMix {
    /// Draws a random prompt length.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> Tokens {
        let share = self.long_share.clamp(0.0, 1.0);
        let is_long = rng.random_bool(share) && self.longest > self.long_over;
        let (from, to) = if is_long {
            (self.long_over.get() + 1, self.longest.get())
        } else {
            (self.shortest.get(), self.long_over.min(self.longest).get())
        };
        Tokens::new(log_uniform(rng, from.max(1), to.max(1)))
    }
}

fn log_uniform(rng: &mut impl Rng, from: u64, to: u64) -> u64 {
    let (low, high) = ((from as f64).ln(), (to.max(from) as f64).ln());
    let drawn = (low + rng.random::<f64>() * (high - low)).exp();
    (drawn.round() as u64).clamp(from, to.max(from))
}

//! [`Backoff`].

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Exponential backoff with full jitter.
///
/// ```
/// use std::time::Duration;
///
/// use oleanderpost_admission::Backoff;
///
/// let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(2), 7);
/// assert!(backoff.next_delay() <= Duration::from_millis(50));
/// assert!(backoff.next_delay() <= Duration::from_millis(100));
/// ```
#[derive(Debug)]
pub struct Backoff {
    first_delay: Duration,
    max_delay: Duration,
    attempts: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `first_delay` and all delays at most `max_delay`.
    #[must_use]
    pub fn new(first_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        Self {
            first_delay,
            max_delay,
            attempts: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.attempts).unwrap_or(u32::MAX);
        let ceiling = self.first_delay.saturating_mul(factor).min(self.max_delay);
        self.attempts = (self.attempts + 1).min(31);
        ceiling.mul_f64(self.rng.random::<f64>())
    }
}

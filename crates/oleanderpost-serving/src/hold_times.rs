//! [`HoldTimes`].

/// Number of equal buckets of the measured distribution.
const BUCKETS: usize = 32;
/// Width of a bucket: the distribution reaches four times the expected time, beyond which it is memoryless.
const BUCKET_WIDTH: f64 = 0.125;
/// Weight of the memoryless distribution that holds before anything is measured, in samples.
const PRIOR_WEIGHT: f64 = 16.0;
/// Number of samples at which the weight of all earlier ones is halved, so that the distribution follows the load.
const MAX_SAMPLES: f64 = 256.0;

/// Distribution of the time for which requests hold a slot of an engine, as a multiple of the expected time.
///
/// Lengths of answers are known only on average. Until the distribution has been measured it is taken as memoryless,
/// which assumes nothing but that average.
#[derive(Clone, Debug)]
pub(crate) struct HoldTimes {
    counts: [f64; BUCKETS + 1],
    samples: f64,
    /// Share of the requests that hold their slot for longer than the lower bound of each bucket.
    survival: [f64; BUCKETS + 1],
}

impl HoldTimes {
    pub(crate) fn new() -> Self {
        let mut times = Self {
            counts: [0.0; BUCKETS + 1],
            samples: 0.0,
            survival: [1.0; BUCKETS + 1],
        };
        times.update_survival();
        times
    }

    /// Records a request that has held its slot for `ratio` times the expected time.
    pub(crate) fn note_ratio(&mut self, ratio: f64) {
        if !ratio.is_finite() || ratio < 0.0 {
            return;
        }
        let bucket = ((ratio / BUCKET_WIDTH) as usize).min(BUCKETS);
        self.counts[bucket] += 1.0;
        self.samples += 1.0;
        if self.samples >= MAX_SAMPLES {
            self.samples /= 2.0;
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
        }
        self.update_survival();
    }

    /// Probability that a request that has held its slot for `elapsed` times the expected time frees it within `ahead`
    /// times that time.
    pub(crate) fn freed_share(&self, elapsed: f64, ahead: f64) -> f64 {
        1.0 - self.survival_at(elapsed + ahead) / self.survival_at(elapsed)
    }

    fn survival_at(&self, ratio: f64) -> f64 {
        let position = ratio.max(0.0) / BUCKET_WIDTH;
        let bucket = position as usize;
        if bucket >= BUCKETS {
            let beyond = ratio - BUCKETS as f64 * BUCKET_WIDTH;
            return self.survival[BUCKETS] * (-beyond).exp();
        }
        let (from, to) = (self.survival[bucket], self.survival[bucket + 1]);
        from + (to - from) * (position - bucket as f64)
    }

    fn update_survival(&mut self) {
        let mut remaining = self.samples;
        for (n, survival) in self.survival.iter_mut().enumerate() {
            let prior = PRIOR_WEIGHT * (-(n as f64) * BUCKET_WIDTH).exp();
            *survival = (prior + remaining) / (PRIOR_WEIGHT + self.samples);
            remaining = (remaining - self.counts[n]).max(0.0);
        }
    }
}

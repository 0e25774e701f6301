//! [`ConvergenceBuilder`].

use std::sync::Arc;

use oleanderpost_types::{DataCentre, VmId};

use crate::{ConfigPeers, ConfigSource, Convergence, FORMAT, Tuning, shared::Shared};

/// Builds a [`Convergence`].
pub struct ConvergenceBuilder {
    tuning: Tuning,
    newest_format: u64,
    seed: u64,
}

impl std::fmt::Debug for ConvergenceBuilder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConvergenceBuilder")
            .field("tuning", &self.tuning)
            .finish_non_exhaustive()
    }
}

impl ConvergenceBuilder {
    pub(crate) fn new() -> Self {
        Self {
            tuning: Tuning::default(),
            newest_format: FORMAT,
            seed: 0,
        }
    }

    /// Sets the intervals and limits.
    #[must_use]
    pub const fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// Refuses files with a newer format than this, like an older version of the program.
    #[must_use]
    pub const fn with_newest_format(mut self, format: u64) -> Self {
        self.newest_format = format;
        self
    }

    /// Sets the seed of the random numbers, which add jitter to the timers of the nodes. Each node needs a
    /// different seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the [`Convergence`] of the node on `vm`. [`Convergence::run`] starts it.
    #[must_use]
    pub fn build(
        self,
        vm: VmId,
        data_centre: DataCentre,
        source: Arc<dyn ConfigSource>,
        peers: Arc<dyn ConfigPeers>,
    ) -> Convergence {
        let (shared, offers) = Shared::new(
            vm,
            data_centre,
            self.tuning,
            self.newest_format,
            source,
            peers,
            self.seed,
        );
        Convergence::new(shared, offers)
    }
}

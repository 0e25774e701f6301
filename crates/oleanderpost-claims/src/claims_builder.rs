//! [`ClaimsBuilder`].

use std::sync::Arc;

use oleanderpost_types::{Incarnation, VmId};

use crate::{
    Claims, Limits, SystemClock, WallClock, WitnessClient, clock::Clock, witness::Witness,
};

/// Builds [`Claims`].
pub struct ClaimsBuilder {
    vm: VmId,
    incarnation: Incarnation,
    client: Arc<dyn WitnessClient>,
    limits: Limits,
    wall_clock: Arc<dyn WallClock>,
}

impl ClaimsBuilder {
    /// Uses the default limits and the system clock. `incarnation` must be greater than that of any earlier
    /// process on the VM.
    pub fn new(vm: VmId, incarnation: Incarnation, client: Arc<dyn WitnessClient>) -> Self {
        Self {
            vm,
            incarnation,
            client,
            limits: Limits::default(),
            wall_clock: Arc::new(SystemClock),
        }
    }

    /// Sets the limits.
    #[must_use]
    pub const fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the wall clock.
    #[must_use]
    pub fn with_wall_clock(mut self, wall_clock: Arc<dyn WallClock>) -> Self {
        self.wall_clock = wall_clock;
        self
    }

    /// Builds the claims of one node.
    #[must_use]
    pub fn build(self) -> Claims {
        let clock = Clock::new(self.wall_clock);
        let witness = Witness::new(self.vm.clone(), self.incarnation, self.limits, clock);
        Claims::new(self.vm, witness, self.client, self.limits)
    }
}

//! [`FleetShare`].

use std::{collections::HashMap, time::Duration};

use oleanderpost_types::VmId;

use crate::BootTime;

/// Time for which a seed must have used a scheduler until it counts there, and after which a silent one no longer counts:
/// two heartbeats and the delay of their replies. A seed that changes its scheduler counts at neither for a moment.
pub(crate) const SETTLING_TIME: Duration = Duration::from_millis(1_100);

/// Share of what the whole fleet may use that the scheduler of one node may grant.
///
/// A scheduler has the share of the seeds that use it. A seed uses one scheduler at a time, so the shares of all
/// schedulers never add up to more than 1: not after a restart of any node, which has no memory of the time before, nor
/// while the network is split. Nodes that are not seeds don't count, since a node that has just started does not know how
/// many there are.
#[derive(Debug)]
pub struct FleetShare {
    seeds: Vec<VmId>,
    /// Last heartbeat of each seed that counts.
    heard_at: HashMap<VmId, BootTime>,
    /// Last call, to detect that the process was suspended.
    called_at: Option<BootTime>,
    /// Time from which heartbeats count again. Those that are read right after a suspension may be old.
    counts_from: BootTime,
}

impl FleetShare {
    /// Creates the share of a scheduler in a fleet with these seeds. Without seeds, the node is the whole fleet.
    #[must_use]
    pub fn new(seeds: &[VmId]) -> Self {
        Self {
            seeds: seeds.to_vec(),
            heard_at: HashMap::new(),
            called_at: None,
            counts_from: BootTime::default(),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[VmId]) {
        self.seeds = seeds.to_vec();
        self.heard_at.retain(|seed, _| seeds.contains(seed));
    }

    /// Counts no seed until its next heartbeat.
    pub fn clear(&mut self) {
        self.heard_at.clear();
    }

    /// Records a heartbeat of a node that has used this scheduler, and no other one, for `used_for`.
    pub fn note_heartbeat(&mut self, node: &VmId, used_for: Duration, now: BootTime) {
        self.note_call(now);
        if used_for >= SETTLING_TIME && now >= self.counts_from && self.seeds.contains(node) {
            self.heard_at.insert(node.clone(), now);
        }
    }

    /// The share at present, from 0 to 1.
    pub fn get(&mut self, now: BootTime) -> f64 {
        self.note_call(now);
        if self.seeds.is_empty() {
            return 1.0;
        }
        let is_recent = |at: &&BootTime| now.since(**at) <= SETTLING_TIME;
        let settled = self.heard_at.values().filter(is_recent).count();
        settled as f64 / self.seeds.len() as f64
    }

    fn note_call(&mut self, now: BootTime) {
        let called_at = self.called_at.replace(now);
        if called_at.is_some_and(|at| now.since(at) > SETTLING_TIME) {
            self.heard_at.clear();
            self.counts_from = now.after(SETTLING_TIME);
        }
    }
}

//! [`RetryPools`].

use std::{collections::HashMap, time::Duration};

use oleanderpost_types::VmId;

use crate::{
    BootTime, FleetShare, RetryTotals, ServiceName, fleet_share::SETTLING_TIME,
    retry_pool::RetryPool, share_history::ShareHistory,
};

/// Largest number of requests that one report of a node may contain, in case the node is faulty: what 20,000 requests a
/// second are in the interval between two reports.
const MAX_REPORTED_REQUESTS: u64 = 10_000;
/// Time that a process takes at least to stop and start again, in which it does not use any scheduler.
const MIN_START_TIME: Duration = Duration::from_millis(500);

/// Grants retries to all nodes that the scheduler of one node serves, for all services.
#[derive(Debug)]
pub struct RetryPools {
    totals: RetryTotals,
    fleet_share: FleetShare,
    shares: ShareHistory,
    by_service: HashMap<ServiceName, RetryPool>,
    /// Last report of a node, and the time since which there was no longer pause between two reports.
    reported: Option<(BootTime, BootTime)>,
}

impl RetryPools {
    /// Creates the pools of a scheduler that has just started, in a fleet without seeds.
    #[must_use]
    pub fn new(totals: RetryTotals) -> Self {
        Self {
            totals,
            fleet_share: FleetShare::new(&[]),
            shares: ShareHistory::new(totals.window * 2),
            by_service: HashMap::new(),
            reported: None,
        }
    }

    /// Replaces the totals of a scheduler that has just started.
    pub fn set_totals(&mut self, totals: RetryTotals) {
        self.totals = totals;
        self.shares = ShareHistory::new(totals.window * 2);
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[VmId]) {
        self.fleet_share.set_seeds(seeds);
    }

    /// Earns what the node that has just started did not use while it was down, so that the first requests can be retried.
    /// The node has `share` of the fleet.
    pub fn note_start(&mut self, share: f64, now: BootTime) {
        self.shares.push(now.before(MIN_START_TIME), now, share);
    }

    /// Serves no other nodes from now on.
    pub fn stop_serving(&mut self) {
        self.fleet_share.clear();
    }

    /// Records a heartbeat of a node that has used this scheduler, and no other one, for `used_for`.
    pub fn note_heartbeat(&mut self, node: &VmId, used_for: Duration, now: BootTime) {
        self.fleet_share.note_heartbeat(node, used_for, now);
        self.update_share(now);
        let since = match self.reported {
            Some((at, since)) if now.since(at) <= SETTLING_TIME => since,
            _ => now,
        };
        self.reported = Some((now, since));
    }

    /// Records requests that a node reports.
    pub fn note_requests(&mut self, service: &ServiceName, requests: u64, now: BootTime) {
        let requests = requests.min(MAX_REPORTED_REQUESTS) as f64;
        let pool = self.by_service.entry(service.clone()).or_default();
        pool.note_requests(requests, &self.totals, now);
    }

    /// Takes one retry of a request to the service; returns `false` if none is left.
    pub fn take(&mut self, service: &ServiceName, now: BootTime) -> bool {
        self.update_share(now);
        let is_settled = self.reported.is_some_and(|(at, since)| {
            now.since(at) <= SETTLING_TIME && now.since(since) >= self.totals.window
        });
        let pool = self.by_service.entry(service.clone()).or_default();
        pool.take(&self.totals, &self.shares, is_settled, now)
    }

    /// Brings the share of the fleet up to date.
    pub fn update_share(&mut self, now: BootTime) {
        self.shares.note(self.fleet_share.get(now), now);
    }

    /// Drops the pools of services that do not satisfy `is_known`.
    pub fn retain(&mut self, is_known: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| is_known(service));
    }
}

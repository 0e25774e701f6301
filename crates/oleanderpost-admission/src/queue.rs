//! [`Queue`].

use std::collections::BTreeMap;

use oleanderpost_types::{AccountName, Attempt, RequestKey};
use tokio::time::Instant;

use crate::{Band, PermitRequest};

/// Requests queued for one engine: fair between accounts, earliest deadline first within an account.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    requests: Vec<QueuedRequest>,
    /// Memory granted to each account, divided by its share.
    served: BTreeMap<AccountName, f64>,
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: PermitRequest,
    pub(crate) deadline: Instant,
    /// Time by which its entry node must repeat the request.
    pub(crate) renewal_due: Instant,
    /// Time from which it is treated as a medium prompt, to prevent starvation.
    pub(crate) aged_at: Instant,
}

/// Number of tracked accounts above which the fairness record is reset.
const MAX_TRACKED_ACCOUNTS: usize = 4_096;

impl QueuedRequest {
    /// Band in which it is considered for grants.
    pub(crate) fn rank(&self, now: Instant) -> Band {
        let band = self.request.demand.band;
        if now >= self.aged_at {
            band.max(Band::Medium)
        } else {
            band
        }
    }

    fn permit_key(&self) -> (RequestKey, Attempt) {
        let permit = &self.request.demand.permit;
        (permit.key, permit.attempt)
    }

    pub(crate) fn has_key(&self, key: RequestKey, attempt: Attempt) -> bool {
        let permit = &self.request.demand.permit;
        permit.key == key && permit.attempt == attempt
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.iter()
    }

    pub(crate) fn get(&self, key: RequestKey, attempt: Attempt) -> Option<&QueuedRequest> {
        self.requests
            .iter()
            .find(|queued| queued.has_key(key, attempt))
    }

    pub(crate) fn get_mut(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
    ) -> Option<&mut QueuedRequest> {
        self.requests
            .iter_mut()
            .find(|queued| queued.has_key(key, attempt))
    }

    /// Adds a request. An account that was idle starts at the level of the least served waiting account,
    /// so that it gains no credit for idle time.
    pub(crate) fn push(&mut self, queued: QueuedRequest) {
        let floor = self.least_served();
        let account = queued.request.demand.account.clone();
        let served = self.served.entry(account).or_insert(floor);
        *served = served.max(floor);
        self.requests.push(queued);
    }

    pub(crate) fn remove(&mut self, key: RequestKey, attempt: Attempt) -> Option<QueuedRequest> {
        let i = self
            .requests
            .iter()
            .position(|queued| queued.has_key(key, attempt))?;
        Some(self.requests.swap_remove(i))
    }

    /// Removes requests whose entry node stopped polling.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.requests.retain(|queued| queued.renewal_due > now);
        if self.served.len() > MAX_TRACKED_ACCOUNTS {
            self.served.clear();
        }
    }

    /// Queued requests of a rank in the order in which they are granted; aged ones come first.
    pub(crate) fn in_grant_order(&self, rank: Band, now: Instant) -> Vec<(RequestKey, Attempt)> {
        let mut ordered: Vec<_> = self
            .requests
            .iter()
            .filter(|queued| queued.rank(now) == rank)
            .collect();
        ordered.sort_by(|a, b| {
            let aged_first = (a.request.demand.band == rank).cmp(&(b.request.demand.band == rank));
            let served = self.served_to(a).total_cmp(&self.served_to(b));
            let deadline = a.deadline.cmp(&b.deadline);
            let key = a.request.demand.permit.cmp(&b.request.demand.permit);
            aged_first.then(served).then(deadline).then(key)
        });
        ordered.into_iter().map(QueuedRequest::permit_key).collect()
    }

    /// Aged long requests, which claim memory before all others.
    pub(crate) fn aged(&self, now: Instant) -> Vec<(RequestKey, Attempt)> {
        let mut ordered = self.in_grant_order(Band::Medium, now);
        ordered.retain(|(key, attempt)| {
            let queued = self.get(*key, *attempt);
            queued.is_some_and(|queued| queued.request.demand.band.is_long())
        });
        ordered
    }

    /// Charges granted memory to an account.
    pub(crate) fn charge(&mut self, account: &AccountName, share: u32, memory: f64) {
        let floor = self.least_served();
        let served = self.served.entry(account.clone()).or_insert(floor);
        *served = served.max(floor) + memory / f64::from(share.max(1));
    }

    fn served_to(&self, queued: &QueuedRequest) -> f64 {
        let served = self.served.get(&queued.request.demand.account);
        served.copied().unwrap_or_default()
    }

    fn least_served(&self) -> f64 {
        let served = self.requests.iter().map(|queued| self.served_to(queued));
        let least = served.fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }
}

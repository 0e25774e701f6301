//! [`Queue`].

use std::collections::BTreeMap;

use oleanderpost_types::{AccountName, Attempt, RequestKey};
use tokio::time::Instant;

use crate::{Band, PermitRequest};

/// Requests that wait for one engine: fair between accounts, the least slack first within one.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
    /// Work served to each account, over its share.
    served: BTreeMap<AccountName, f64>,
}

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ask: PermitRequest,
    pub(crate) deadline: Instant,
    /// Moment by which it must be asked for again.
    pub(crate) expires: Instant,
    /// Moment from which it is treated as a medium prompt, so that it does not starve.
    pub(crate) aged: Instant,
}

/// Accounts remembered beyond those that wait.
const ACCOUNTS: usize = 4_096;

impl Waiting {
    /// Band whose turns it takes.
    pub(crate) fn rank(&self, now: Instant) -> Band {
        let band = self.ask.demand.band;
        if now >= self.aged {
            band.max(Band::Medium)
        } else {
            band
        }
    }

    fn name(&self) -> (RequestKey, Attempt) {
        let permit = &self.ask.demand.permit;
        (permit.key, permit.attempt)
    }

    pub(crate) fn is(&self, key: RequestKey, attempt: Attempt) -> bool {
        let permit = &self.ask.demand.permit;
        permit.key == key && permit.attempt == attempt
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    pub(crate) fn get(&self, key: RequestKey, attempt: Attempt) -> Option<&Waiting> {
        self.waiting.iter().find(|waiting| waiting.is(key, attempt))
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey, attempt: Attempt) -> Option<&mut Waiting> {
        self.waiting
            .iter_mut()
            .find(|waiting| waiting.is(key, attempt))
    }

    /// Adds a request. An account that was idle starts level with the least served one that waits.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let floor = self.least_served();
        let account = waiting.ask.demand.account.clone();
        let served = self.served.entry(account).or_insert(floor);
        *served = served.max(floor);
        self.waiting.push(waiting);
    }

    pub(crate) fn remove(&mut self, key: RequestKey, attempt: Attempt) -> Option<Waiting> {
        let i = self
            .waiting
            .iter()
            .position(|waiting| waiting.is(key, attempt))?;
        Some(self.waiting.swap_remove(i))
    }

    /// Takes out those whose holder no longer asks.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.waiting.retain(|waiting| waiting.expires > now);
        if self.served.len() > ACCOUNTS {
            self.served.clear();
        }
    }

    /// The waiting requests of a rank in the order of their turns; aged ones come first.
    pub(crate) fn turns(&self, rank: Band, now: Instant) -> Vec<(RequestKey, Attempt)> {
        let mut turns: Vec<_> = self
            .waiting
            .iter()
            .filter(|waiting| waiting.rank(now) == rank)
            .collect();
        turns.sort_by(|a, b| {
            let aged = (a.ask.demand.band == rank).cmp(&(b.ask.demand.band == rank));
            let served = self.served_to(a).total_cmp(&self.served_to(b));
            let slack = a.deadline.cmp(&b.deadline);
            let name = a.ask.demand.permit.cmp(&b.ask.demand.permit);
            aged.then(served).then(slack).then(name)
        });
        turns.into_iter().map(Waiting::name).collect()
    }

    /// Aged requests, which claim memory before all others.
    pub(crate) fn aged(&self, now: Instant) -> Vec<(RequestKey, Attempt)> {
        let mut turns = self.turns(Band::Medium, now);
        turns.retain(|(key, attempt)| {
            let waiting = self.get(*key, *attempt);
            waiting.is_some_and(|waiting| waiting.ask.demand.band.is_long())
        });
        turns
    }

    /// Counts work that an account was given.
    pub(crate) fn serve(&mut self, account: &AccountName, share: u32, work: f64) {
        let floor = self.least_served();
        let served = self.served.entry(account.clone()).or_insert(floor);
        *served = served.max(floor) + work / f64::from(share.max(1));
    }

    fn served_to(&self, waiting: &Waiting) -> f64 {
        let served = self.served.get(&waiting.ask.demand.account);
        served.copied().unwrap_or_default()
    }

    fn least_served(&self) -> f64 {
        let served = self.waiting.iter().map(|waiting| self.served_to(waiting));
        let least = served.fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }
}

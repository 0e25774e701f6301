//! [`Limits`].

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleanderpost_types::{AccountName, Millis, Tokens};
use tokio::time::Instant;

use crate::{
    AccountView, AdmissionRequest, LeaseGrant, LeaseRequest, PermitMessage, Reason, Refusal,
    fleet::FleetService,
    lock,
    shared::{Shared, refusal},
};

/// Time after which the unused part of a lease expires, so that it is available to other nodes.
const LEASE_DURATION: Duration = Duration::from_millis(500);
/// Capacity of a bucket, as the time in which it refills.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Rate limits of client accounts. The node responsible for an account keeps its token bucket; entry
/// nodes lease shares of it.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    leases: BTreeMap<AccountName, HeldLease>,
    buckets: BTreeMap<AccountName, Bucket>,
}

/// Unused part of an entry node's leases for one account.
#[derive(Debug)]
struct HeldLease {
    requests: u32,
    tokens: Tokens,
    expires_at: Instant,
    /// Requests used since the last lease; with `used_tokens`, the size of the next one.
    used_requests: u32,
    used_tokens: Tokens,
}

/// Rate limits of an account, or one node's equal part of them.
#[derive(Clone, Copy, Debug)]
struct Rates {
    requests: f64,
    tokens: f64,
}

#[derive(Debug)]
struct Bucket {
    requests: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Rates {
    fn new(account: &AccountView, nodes: usize) -> Self {
        let share = |rate: f64| rate / nodes.max(1) as f64;
        let requests = account
            .requests_per_second
            .map(|rate| f64::from(rate.get()));
        let tokens = account.tokens_per_second.map(|rate| rate.get() as f64);
        Self {
            requests: requests.map_or(f64::INFINITY, share),
            tokens: tokens.map_or(f64::INFINITY, share),
        }
    }

    fn is_unlimited(self) -> bool {
        self.requests.is_infinite() && self.tokens.is_infinite()
    }
}

impl Bucket {
    fn new(rates: Rates, now: Instant) -> Self {
        let mut bucket = Self {
            requests: 0.0,
            tokens: 0.0,
            refilled_at: now,
        };
        bucket.refill(rates, BURST_WINDOW, now);
        bucket
    }

    fn refill(&mut self, rates: Rates, elapsed: Duration, now: Instant) {
        let burst = |rate: f64| (rate * BURST_WINDOW.as_secs_f64()).max(1.0);
        let seconds = elapsed.as_secs_f64();
        self.requests = (self.requests + rates.requests * seconds).min(burst(rates.requests));
        self.tokens = (self.tokens + rates.tokens * seconds).min(burst(rates.tokens));
        self.refilled_at = now;
    }

    /// Grants what is available. A single large request may make the level negative.
    fn grant(&mut self, rates: Rates, request: &LeaseRequest, now: Instant) -> LeaseGrant {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if elapsed > Duration::ZERO {
            self.refill(rates, elapsed, now);
        }
        let wait = self.time_until_available(rates);
        if wait > Duration::ZERO {
            return LeaseGrant {
                requests: 0,
                tokens: Tokens::default(),
                retry_after: Millis::from(wait).saturating_add(Millis::new(1)),
            };
        }
        let requests = f64::from(request.requests).min(self.requests).floor();
        let tokens = (request.tokens.get() as f64)
            .min(self.tokens.max(request.need.get() as f64))
            .floor();
        self.requests -= requests;
        self.tokens -= tokens;
        LeaseGrant {
            requests: requests as u32,
            tokens: Tokens::new(tokens as u64),
            retry_after: Millis::default(),
        }
    }

    /// Time until the bucket allows another request.
    fn time_until_available(&self, rates: Rates) -> Duration {
        let refill_time = |missing: f64, rate: f64| {
            if missing > 0.0 {
                missing / rate.max(1e-9)
            } else {
                0.0
            }
        };
        let tokens = if self.tokens > 0.0 {
            0.0
        } else {
            1.0 - self.tokens
        };
        let seconds =
            refill_time(1.0 - self.requests, rates.requests).max(refill_time(tokens, rates.tokens));
        Duration::from_secs_f64(seconds.min(1e6))
    }
}

impl Limits {
    /// Removes all leases, after a pause of the process.
    pub(crate) fn clear(&mut self) {
        self.leases.clear();
    }

    fn consume(&mut self, account: &AccountName, need: Tokens, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(account) else {
            return false;
        };
        if lease.expires_at <= now || lease.requests < 1 || lease.tokens < need {
            return false;
        }
        lease.requests -= 1;
        lease.tokens = lease.tokens.saturating_sub(need);
        lease.used_requests += 1;
        lease.used_tokens = lease.used_tokens.saturating_add(need);
        true
    }

    /// Size of the next lease: what was used of the last one, plus the current request.
    fn lease_size(&self, account: &AccountName, need: Tokens, now: Instant) -> (u32, Tokens) {
        let recent = self.leases.get(account);
        let recent = recent.filter(|lease| lease.expires_at + LEASE_DURATION > now);
        recent.map_or((1, need), |lease| {
            (
                1 + lease.used_requests,
                need.saturating_add(lease.used_tokens),
            )
        })
    }

    fn add_lease(&mut self, account: &AccountName, grant: LeaseGrant, now: Instant) {
        let current = self
            .leases
            .get(account)
            .filter(|lease| lease.expires_at > now);
        let (requests, tokens) = current.map_or((0, Tokens::default()), |lease| {
            (lease.requests, lease.tokens)
        });
        let lease = HeldLease {
            requests: requests.saturating_add(grant.requests),
            tokens: tokens.saturating_add(grant.tokens),
            expires_at: now + LEASE_DURATION,
            used_requests: 0,
            used_tokens: Tokens::default(),
        };
        self.leases.insert(account.clone(), lease);
    }

    fn grant_lease(&mut self, request: &LeaseRequest, rates: Rates, now: Instant) -> LeaseGrant {
        let bucket = self.buckets.entry(request.account.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(rates, now));
        bucket.grant(rates, request, now)
    }
}

impl Shared {
    /// Counts a request against its account's rate limits.
    pub(crate) async fn check_limits(
        self: &Arc<Self>,
        req: &AdmissionRequest,
        service: &FleetService,
    ) -> Result<(), Refusal> {
        let Some(account) = service.account(&req.account) else {
            return Err(refusal(Reason::UnknownAccount, None));
        };
        if Rates::new(account, 1).is_unlimited() || req.attempt.get() > 0 {
            return Ok(());
        }
        let need = req.prompt.saturating_add(req.max_tokens);
        let now = Instant::now();
        let request = {
            let mut state = lock(&self.state);
            if state.limits.consume(&req.account, need, now) {
                return Ok(());
            }
            let (requests, tokens) = state.limits.lease_size(&req.account, need, now);
            LeaseRequest {
                service: req.service.clone(),
                account: req.account.clone(),
                requests,
                tokens,
                need,
            }
        };
        let grant = self.request_lease(&request, account).await;
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.limits.add_lease(&req.account, grant, now);
        if state.limits.consume(&req.account, need, now) {
            return Ok(());
        }
        Err(refusal(Reason::Limit, Some(grant.retry_after.into())))
    }

    /// Requests a lease from the node responsible for the account. If that node is unreachable, this node
    /// uses an equal part of the limit.
    async fn request_lease(
        self: &Arc<Self>,
        request: &LeaseRequest,
        account: &AccountView,
    ) -> LeaseGrant {
        let fleet = lock(&self.state).fleet.clone();
        if let Some(responsible) = fleet.responsible_node(account.name.as_str())
            && let Ok(PermitMessage::Leased(grant)) = self
                .call(&responsible, PermitMessage::Lease(request.clone()))
                .await
        {
            return grant;
        }
        let rates = Rates::new(account, fleet.reachable_count());
        lock(&self.state)
            .limits
            .grant_lease(request, rates, Instant::now())
    }

    /// Grants a lease, as the node responsible for the account.
    pub(crate) fn handle_lease_request(&self, request: &LeaseRequest) -> PermitMessage {
        let mut state = lock(&self.state);
        let fleet = state.fleet.clone();
        let service = fleet.service(&request.service);
        let account = service.and_then(|service| service.account(&request.account));
        let Some(account) = account else {
            return PermitMessage::Done;
        };
        let grant = state
            .limits
            .grant_lease(request, Rates::new(account, 1), Instant::now());
        PermitMessage::Leased(grant)
    }
}

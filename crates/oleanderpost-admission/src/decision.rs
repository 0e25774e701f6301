//! Decisions of an engine's owner: which requests get a permit, wait or are refused.

use std::time::Duration;

use oleanderpost_types::{Attempt, Millis, RequestKey, Tokens, VmId};
use tokio::time::Instant;

use crate::{
    Band, Demand, Fingerprint, Grant, OwnerRefusal, PermitKey, PermitMessage, PermitRequest,
    PrefillWork, Quote, Reason,
    ledger::{Adoption, Ledger},
    ledger_entry::{LedgerEntry, Phase},
    queue::QueuedRequest,
};

/// Order in which the bands are considered for grants.
const GRANT_ORDER: [Band; 4] = [Band::Short, Band::Medium, Band::Group, Band::Long];
/// Maximum number of requests considered per band in one round.
const MAX_EXAMINED: usize = 32;
/// Number of missed polls after which a queued request counts as abandoned.
const MAX_MISSED_POLLS: u32 = 3;
/// Factor by which the cost may exceed the alternative's before the request is turned down.
const COST_TOLERANCE_FACTOR: f64 = 1.25;
/// Constant amount added to the tolerated cost.
const COST_TOLERANCE: Duration = Duration::from_millis(20);

/// A decision to be sent to the permit's holder.
#[derive(Debug)]
pub(crate) struct Decision {
    pub(crate) holder: VmId,
    pub(crate) permit: PermitKey,
    pub(crate) msg: PermitMessage,
}

/// Minimum wait after which a long request is treated as a medium one.
const MIN_AGING_DELAY: Duration = Duration::from_secs(3);

/// Memory set aside for a request that waits until enough is free.
#[derive(Clone, Copy, Debug)]
struct MemoryClaim {
    /// Estimated time at which enough memory is free.
    start: Instant,
    /// Memory left over for other requests at that time.
    spare: Tokens,
}

/// Estimated timing and prefill work of a request.
#[derive(Clone, Copy, Debug)]
struct RequestEstimate {
    first_token: Duration,
    end: Duration,
    work_to_first_token: PrefillWork,
    own_prefill: PrefillWork,
}

impl Ledger {
    /// Handles a permit request. The returned decisions concern other requests decided in the same round.
    pub(crate) fn handle_request(
        &mut self,
        request: PermitRequest,
        now: Instant,
    ) -> (PermitMessage, Vec<Decision>) {
        self.last_used = now;
        self.complete_adoption_if_due(now);
        let permit = request.demand.permit.clone();
        if let Some(answer) = self.repeated_answer(&request, now) {
            return (answer, Vec::new());
        }
        if let Some(answer) = self.refuse_or_quote(&request, now) {
            return (answer, Vec::new());
        }
        let own_prefill = self.own_prefill(&request);
        self.queue.push(QueuedRequest {
            aged_at: now + self.aging_delay(request.demand.band, own_prefill),
            deadline: now + Duration::from(request.demand.remaining),
            renewal_due: now + self.settings.poll_period * MAX_MISSED_POLLS,
            request,
        });
        let mut decisions = self.grant_waiting(now);
        let position = decisions
            .iter()
            .position(|decision| decision.permit == permit);
        let answer = match position {
            Some(i) => decisions.swap_remove(i).msg,
            None => PermitMessage::Queued(self.quote(&permit.key, permit.attempt, now)),
        };
        (answer, decisions)
    }

    /// The current answer for a request that is already queued or granted.
    fn repeated_answer(&mut self, request: &PermitRequest, now: Instant) -> Option<PermitMessage> {
        let permit = &request.demand.permit;
        let renewal_due = now + self.settings.poll_period * MAX_MISSED_POLLS;
        if let Some(queued) = self.queue.get_mut(permit.key, permit.attempt) {
            queued.renewal_due = renewal_due;
            return Some(PermitMessage::Queued(self.quote(
                &permit.key,
                permit.attempt,
                now,
            )));
        }
        let entry = self.entries.get_mut(&(permit.key, permit.attempt))?;
        if entry.phase != Phase::Prefill {
            return None;
        }
        entry.renewal_due = now + self.settings.permit_expiry;
        Some(self.grant_message(permit.clone(), &request.prefix, now))
    }

    /// Refuses a request that cannot be served, or returns a quote if the alternative costs less.
    fn refuse_or_quote(&self, request: &PermitRequest, now: Instant) -> Option<PermitMessage> {
        let demand = &request.demand;
        if demand.memory() > self.memory {
            return Some(self.refusal_message(demand, Reason::TooLarge, None, now));
        }
        let estimate = self.estimate_request(request, now);
        if let Some(refused) = self.deadline_refusal(demand, &estimate, now) {
            return Some(refused);
        }
        let alternative =
            Duration::from(request.alternative?).mul_f64(COST_TOLERANCE_FACTOR) + COST_TOLERANCE;
        let cost = estimate.first_token + self.long_prefill_delay(demand.band, &estimate);
        (cost > alternative).then(|| {
            PermitMessage::Quoted(Quote {
                first_token: estimate.first_token.into(),
                summary: self.summary(now),
            })
        })
    }

    /// Delay that a prompt with higher priority adds to the long prefills of this engine.
    fn long_prefill_delay(&self, band: Band, estimate: &RequestEstimate) -> Duration {
        if band.is_long() {
            return Duration::ZERO;
        }
        let long_prefills = u32::try_from(self.long_prefill_count()).unwrap_or(u32::MAX);
        self.model.estimate(estimate.own_prefill) * long_prefills
    }

    /// Refuses a request that cannot finish before its deadline. The refusal has a retry delay only if the
    /// request could finish in time on an idle engine.
    fn deadline_refusal(
        &self,
        demand: &Demand,
        estimate: &RequestEstimate,
        now: Instant,
    ) -> Option<PermitMessage> {
        let remaining = Duration::from(demand.remaining);
        if estimate.end <= remaining {
            return None;
        }
        let alone =
            self.model.estimate(estimate.own_prefill) + self.expected_decoding(demand.max_tokens);
        let retry_after = (alone <= remaining).then(|| estimate.end - remaining);
        Some(self.refusal_message(demand, Reason::Deadline, retry_after, now))
    }

    /// Grants permits to queued requests as far as capacity allows and refuses those that are too late.
    pub(crate) fn grant_waiting(&mut self, now: Instant) -> Vec<Decision> {
        self.complete_adoption_if_due(now);
        let mut decisions = self.refuse_late(now);
        if !self.is_adopted() {
            return decisions;
        }
        let mut claim = None;
        let aged = self.queue.aged(now);
        self.grant_in_order(aged, &mut claim, &mut decisions, now);
        for rank in GRANT_ORDER {
            let keys = self.queue.in_grant_order(rank, now);
            self.grant_in_order(keys, &mut claim, &mut decisions, now);
        }
        decisions
    }

    fn grant_in_order(
        &mut self,
        keys: Vec<(RequestKey, Attempt)>,
        claim: &mut Option<MemoryClaim>,
        decisions: &mut Vec<Decision>,
        now: Instant,
    ) {
        for (key, attempt) in keys.into_iter().take(MAX_EXAMINED) {
            match self.try_grant(key, attempt, claim, now) {
                Ok(Some(decision)) => decisions.push(decision),
                Ok(None) => {}
                Err(Blocked) => break,
            }
        }
    }

    /// Refuses queued requests that would miss their deadline even if granted now on an idle engine.
    fn refuse_late(&mut self, now: Instant) -> Vec<Decision> {
        let is_late = |queued: &&QueuedRequest| {
            let alone = self.model.estimate(self.own_prefill(&queued.request));
            now + alone + self.expected_decoding(queued.request.demand.max_tokens) > queued.deadline
        };
        let late: Vec<_> = self.queue.iter().filter(is_late).collect();
        let late: Vec<_> = late
            .into_iter()
            .map(|queued| queued.request.clone())
            .collect();
        let refuse = |request: PermitRequest| {
            let demand = request.demand;
            self.queue.remove(demand.permit.key, demand.permit.attempt);
            let memory = self.memory_wait(demand.memory(), now);
            let ahead = self.model.estimate(self.prefill_ahead(demand.band, now));
            let wait = memory.max(ahead).max(self.settings.max_prefill_backlog);
            Decision {
                msg: self.refusal_message(&demand, Reason::Deadline, Some(wait), now),
                holder: demand.holder,
                permit: demand.permit,
            }
        };
        late.into_iter().map(refuse).collect()
    }

    /// Grants the request if there is capacity. Returns `None` if this request cannot be granted now, and
    /// `Blocked` if no request of its rank can.
    fn try_grant(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        claim: &mut Option<MemoryClaim>,
        now: Instant,
    ) -> Result<Option<Decision>, Blocked> {
        let Some(queued) = self.queue.get(key, attempt) else {
            return Ok(None);
        };
        let (band, need) = (queued.request.demand.band, queued.request.demand.memory());
        let rank = queued.rank(now);
        if band == Band::Long && self.long_prefill_count() >= self.settings.max_long_prefills {
            return Ok(None);
        }
        if self.model.estimate(self.granted_ahead(rank, now)) > self.settings.max_prefill_backlog {
            return Err(Blocked);
        }
        let estimate = self.estimate_request(&queued.request, now);
        let fits = self.available_memory(band, need) >= need;
        let leaves_claim = claim.is_none_or(|c| need <= c.spare || now + estimate.end <= c.start);
        if !fits || !leaves_claim {
            if claim.is_none() && band != Band::Short {
                *claim = Some(self.claim_memory(need, now));
            }
            return Ok(None);
        }
        if let Some(claim) = claim
            && now + estimate.end > claim.start
        {
            claim.spare = claim.spare.saturating_sub(need);
        }
        let queued = self.queue.remove(key, attempt);
        Ok(queued.map(|queued| self.grant(queued, &estimate, now)))
    }

    fn claim_memory(&self, need: Tokens, now: Instant) -> MemoryClaim {
        let start = now + self.memory_wait(need, now);
        let ended = self
            .entries
            .values()
            .filter(|entry| entry.estimated_end(now) <= start);
        let freed: u64 = ended.map(|entry| entry.memory.get()).sum();
        let free = self.free_memory().saturating_add(Tokens::new(freed));
        MemoryClaim {
            start,
            spare: free.saturating_sub(need),
        }
    }

    fn grant(
        &mut self,
        queued: QueuedRequest,
        estimate: &RequestEstimate,
        now: Instant,
    ) -> Decision {
        let rank = queued.rank(now);
        let QueuedRequest {
            request, deadline, ..
        } = queued;
        let mut demand = request.demand;
        demand.remaining = deadline.saturating_duration_since(now).into();
        self.queue
            .charge(&demand.account, demand.share, demand.memory().get() as f64);
        let (permit, holder) = (demand.permit.clone(), demand.holder.clone());
        let entry = LedgerEntry {
            holder: Some(demand.holder.clone()),
            memory: demand.memory(),
            phase: Phase::Prefill,
            rank,
            granted_at: now,
            renewal_due: now + self.settings.permit_expiry,
            own_prefill: estimate.own_prefill,
            work_to_first_token: estimate.work_to_first_token,
            first_token_at: now + estimate.first_token,
            end_estimate: now + estimate.end,
            demand: Some(demand),
        };
        self.entries.insert((permit.key, permit.attempt), entry);
        let msg = self.grant_message(permit.clone(), &request.prefix, now);
        self.prefixes.record(&request.prefix);
        Decision {
            holder,
            permit,
            msg,
        }
    }

    fn grant_message(
        &self,
        permit: PermitKey,
        prefix: &[Fingerprint],
        now: Instant,
    ) -> PermitMessage {
        PermitMessage::Granted(Grant {
            rank: self.rank_of(&permit),
            permit,
            cached: self.prefixes.cached(prefix),
            summary: self.summary(now),
        })
    }

    /// Wait after which a request may claim memory ahead of others. Zero for parts of a group, because
    /// while they wait, the parts already granted block memory on other engines.
    fn aging_delay(&self, band: Band, own_prefill: PrefillWork) -> Duration {
        match band {
            Band::Group => Duration::ZERO,
            _ => self.model.estimate(own_prefill).max(MIN_AGING_DELAY),
        }
    }

    fn rank_of(&self, permit: &PermitKey) -> Band {
        let entry = self.entries.get(&(permit.key, permit.attempt));
        entry.map_or(Band::Long, |entry| entry.rank)
    }

    /// Prefill work of a request, without the tokens in the engine's cache.
    fn own_prefill(&self, request: &PermitRequest) -> PrefillWork {
        PrefillWork::with_prompt(request.demand.prompt, self.prefixes.cached(&request.prefix))
    }

    /// Estimates a request that is not in the queue. For a queued one, its own prefill is counted twice.
    fn estimate_request(&self, request: &PermitRequest, now: Instant) -> RequestEstimate {
        let demand = &request.demand;
        let own_prefill = self.own_prefill(request);
        let work_to_first_token = self
            .granted_ahead(demand.band, now)
            .plus(own_prefill)
            .with_step(self.step_seconds);
        let all_work = work_to_first_token.plus(self.queued_ahead(demand.band));
        let wait = self
            .memory_wait(demand.memory(), now)
            .max(self.adoption_wait(now));
        let first_token = self
            .model
            .estimate(all_work)
            .max(wait + self.model.estimate(own_prefill));
        RequestEstimate {
            first_token,
            end: first_token + self.expected_decoding(demand.max_tokens),
            work_to_first_token,
            own_prefill,
        }
    }

    fn adoption_wait(&self, now: Instant) -> Duration {
        match self.adoption {
            Adoption::Done => Duration::ZERO,
            Adoption::Waiting(until) => until.saturating_duration_since(now),
            Adoption::Reading => self.settings.dispatch_window,
        }
    }

    fn quote(&self, key: &RequestKey, attempt: Attempt, now: Instant) -> Quote {
        let queued = self
            .queue
            .iter()
            .find(|queued| queued.has_key(*key, attempt));
        let first_token = queued.map_or(Duration::ZERO, |queued| {
            self.estimate_request(&queued.request, now).first_token
        });
        Quote {
            first_token: first_token.into(),
            summary: self.summary(now),
        }
    }

    fn refusal_message(
        &self,
        demand: &Demand,
        reason: Reason,
        retry_after: Option<Duration>,
        now: Instant,
    ) -> PermitMessage {
        PermitMessage::Refused(OwnerRefusal {
            permit: demand.permit.clone(),
            reason,
            retry_after: retry_after.map(Millis::from),
            summary: Some(self.summary(now)),
        })
    }
}

/// No request of the rank can be granted at present.
struct Blocked;

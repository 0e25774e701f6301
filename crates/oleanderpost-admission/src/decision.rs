//! Decisions of an owner on one engine: who gets a permit, who waits, who is refused.

use std::time::Duration;

use oleanderpost_types::{Attempt, Millis, RequestKey, Tokens, VmId};
use tokio::time::Instant;

use crate::{
    Band, Demand, Fingerprint, Grant, OwnerRefusal, PermitKey, PermitMessage, PermitRequest,
    PrefillWork, Quote, Reason,
    ledger::{Adoption, Ledger},
    ledger_entry::{LedgerEntry, Phase},
    queue::Waiting,
};

/// Order in which the bands get their turns.
const TURNS: [Band; 4] = [Band::Short, Band::Medium, Band::Group, Band::Long];
/// Requests of a band that are looked at in one round.
const LOOKED_AT: usize = 32;
/// Polls after which a waiting request counts as given up.
const MISSED_POLLS: u32 = 3;
/// Factor by which an engine may be worse than the alternative and still take a request.
const TOLERANCE: f64 = 1.25;
/// Time by which it may be worse besides.
const TOLERATED: Duration = Duration::from_millis(20);

/// A decision that a holder must be told.
#[derive(Debug)]
pub(crate) struct Decision {
    pub(crate) holder: VmId,
    pub(crate) permit: PermitKey,
    pub(crate) msg: PermitMessage,
}

/// Shortest wait after which a long request is treated as a medium one.
const AGED_AFTER: Duration = Duration::from_secs(3);

/// Memory promised to a request that waits for it.
#[derive(Clone, Copy, Debug)]
struct Claim {
    /// When it is expected to be free.
    start: Instant,
    /// Memory that is free besides at that time.
    spare: Tokens,
}

/// Estimated course of a request.
#[derive(Clone, Copy, Debug)]
struct Course {
    first_token: Duration,
    end: Duration,
    work: PrefillWork,
    own: PrefillWork,
}

impl Ledger {
    /// Answers an ask; the decisions are on other requests whose turn came with it.
    pub(crate) fn ask(
        &mut self,
        ask: PermitRequest,
        now: Instant,
    ) -> (PermitMessage, Vec<Decision>) {
        self.last_used = now;
        self.complete_adoption_if_due(now);
        let permit = ask.demand.permit.clone();
        if let Some(answer) = self.known(&ask, now) {
            return (answer, Vec::new());
        }
        if let Some(answer) = self.declines(&ask, now) {
            return (answer, Vec::new());
        }
        let own = self.own(&ask);
        self.queue.push(Waiting {
            aged: now + self.ages_after(ask.demand.band, own),
            deadline: now + Duration::from(ask.demand.remaining),
            expires: now + self.settings.poll_period * MISSED_POLLS,
            ask,
        });
        let mut decisions = self.pump(now);
        let own = decisions
            .iter()
            .position(|decision| decision.permit == permit);
        let answer = match own {
            Some(i) => decisions.swap_remove(i).msg,
            None => PermitMessage::Queued(self.quote(&permit.key, permit.attempt, now)),
        };
        (answer, decisions)
    }

    /// The present answer to a request that was asked for before.
    fn known(&mut self, ask: &PermitRequest, now: Instant) -> Option<PermitMessage> {
        let permit = &ask.demand.permit;
        let expires = now + self.settings.poll_period * MISSED_POLLS;
        if let Some(waiting) = self.queue.get_mut(permit.key, permit.attempt) {
            waiting.expires = expires;
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
        Some(self.granted(permit.clone(), &ask.prefix, now))
    }

    /// A refusal, or a quote where the alternative is better.
    fn declines(&self, ask: &PermitRequest, now: Instant) -> Option<PermitMessage> {
        let demand = &ask.demand;
        if demand.memory() > self.memory {
            return Some(self.refused(demand, Reason::TooLarge, None, now));
        }
        let course = self.course(ask, now);
        if let Some(refused) = self.late(demand, &course, now) {
            return Some(refused);
        }
        let alternative = Duration::from(ask.alternative?).mul_f64(TOLERANCE) + TOLERATED;
        let cost = course.first_token + self.delay_to_longs(demand.band, &course);
        (cost > alternative).then(|| {
            PermitMessage::Quoted(Quote {
                first_token: course.first_token.into(),
                summary: self.summary(now),
            })
        })
    }

    /// Delay that a prompt which goes first brings to long prefills.
    fn delay_to_longs(&self, band: Band, course: &Course) -> Duration {
        if band.is_long() {
            return Duration::ZERO;
        }
        let longs = u32::try_from(self.long_prefill_count()).unwrap_or(u32::MAX);
        self.model.estimate(course.own) * longs
    }

    /// The refusal of a request that can't finish in time.
    fn late(&self, demand: &Demand, course: &Course, now: Instant) -> Option<PermitMessage> {
        let remaining = Duration::from(demand.remaining);
        if course.end <= remaining {
            return None;
        }
        let alone = self.model.estimate(course.own) + self.answer_time(demand.max_tokens);
        let back = (alone <= remaining).then(|| course.end - remaining);
        Some(self.refused(demand, Reason::Deadline, back, now))
    }

    /// Gives permits to all whose turn has come and refuses those that came too late.
    pub(crate) fn pump(&mut self, now: Instant) -> Vec<Decision> {
        self.complete_adoption_if_due(now);
        let mut decisions = self.drop_late(now);
        if !self.is_adopted() {
            return decisions;
        }
        let mut claim = None;
        let aged = self.queue.aged(now);
        self.grant_all(aged, &mut claim, &mut decisions, now);
        for rank in TURNS {
            let turns = self.queue.turns(rank, now);
            self.grant_all(turns, &mut claim, &mut decisions, now);
        }
        decisions
    }

    fn grant_all(
        &mut self,
        turns: Vec<(RequestKey, Attempt)>,
        claim: &mut Option<Claim>,
        decisions: &mut Vec<Decision>,
        now: Instant,
    ) {
        for (key, attempt) in turns.into_iter().take(LOOKED_AT) {
            match self.try_grant(key, attempt, claim, now) {
                Ok(Some(decision)) => decisions.push(decision),
                Ok(None) => {}
                Err(Blocked) => break,
            }
        }
    }

    /// Refuses those whose own work alone would take too long by now.
    fn drop_late(&mut self, now: Instant) -> Vec<Decision> {
        let is_late = |waiting: &&Waiting| {
            let alone = self.model.estimate(self.own(&waiting.ask));
            now + alone + self.answer_time(waiting.ask.demand.max_tokens) > waiting.deadline
        };
        let late: Vec<_> = self.queue.iter().filter(is_late).collect();
        let late: Vec<_> = late
            .into_iter()
            .map(|waiting| waiting.ask.clone())
            .collect();
        let refuse = |ask: PermitRequest| {
            let demand = ask.demand;
            self.queue.remove(demand.permit.key, demand.permit.attempt);
            let memory = self.memory_wait(demand.memory(), now);
            let ahead = self.model.estimate(self.prefill_ahead(demand.band, now));
            let wait = memory.max(ahead).max(self.settings.max_prefill_backlog);
            Decision {
                msg: self.refused(&demand, Reason::Deadline, Some(wait), now),
                holder: demand.holder,
                permit: demand.permit,
            }
        };
        late.into_iter().map(refuse).collect()
    }

    /// Grants if there is room: `None` when this one can't go, an error when nobody of its rank can.
    fn try_grant(
        &mut self,
        key: RequestKey,
        attempt: Attempt,
        claim: &mut Option<Claim>,
        now: Instant,
    ) -> Result<Option<Decision>, Blocked> {
        let Some(waiting) = self.queue.get(key, attempt) else {
            return Ok(None);
        };
        let (band, need) = (waiting.ask.demand.band, waiting.ask.demand.memory());
        let rank = waiting.rank(now);
        if band == Band::Long && self.long_prefill_count() >= self.settings.max_long_prefills {
            return Ok(None);
        }
        if self.model.estimate(self.granted_ahead(rank, now)) > self.settings.max_prefill_backlog {
            return Err(Blocked);
        }
        let course = self.course(&waiting.ask, now);
        let fits = self.available_memory(band, need) >= need;
        let spares = claim.is_none_or(|c| need <= c.spare || now + course.end <= c.start);
        if !fits || !spares {
            if claim.is_none() && band != Band::Short {
                *claim = Some(self.claim(need, now));
            }
            return Ok(None);
        }
        if let Some(claim) = claim
            && now + course.end > claim.start
        {
            claim.spare = claim.spare.saturating_sub(need);
        }
        let waiting = self.queue.remove(key, attempt);
        Ok(waiting.map(|waiting| self.grant(waiting, &course, now)))
    }

    fn claim(&self, need: Tokens, now: Instant) -> Claim {
        let start = now + self.memory_wait(need, now);
        let ended = self
            .entries
            .values()
            .filter(|entry| entry.estimated_end(now) <= start);
        let freed: u64 = ended.map(|entry| entry.memory.get()).sum();
        let free = self.free().saturating_add(Tokens::new(freed));
        Claim {
            start,
            spare: free.saturating_sub(need),
        }
    }

    fn grant(&mut self, waiting: Waiting, course: &Course, now: Instant) -> Decision {
        let rank = waiting.rank(now);
        let Waiting { ask, deadline, .. } = waiting;
        let mut demand = ask.demand;
        demand.remaining = deadline.saturating_duration_since(now).into();
        self.queue
            .serve(&demand.account, demand.share, demand.memory().get() as f64);
        let (permit, holder) = (demand.permit.clone(), demand.holder.clone());
        let entry = LedgerEntry {
            holder: Some(demand.holder.clone()),
            memory: demand.memory(),
            phase: Phase::Prefill,
            rank,
            granted_at: now,
            renewal_due: now + self.settings.permit_expiry,
            own_prefill: course.own,
            work_to_first_token: course.work,
            first_token_at: now + course.first_token,
            end_estimate: now + course.end,
            demand: Some(demand),
        };
        self.entries.insert((permit.key, permit.attempt), entry);
        let msg = self.granted(permit.clone(), &ask.prefix, now);
        self.prefixes.remember(&ask.prefix);
        Decision {
            holder,
            permit,
            msg,
        }
    }

    fn granted(&self, permit: PermitKey, prefix: &[Fingerprint], now: Instant) -> PermitMessage {
        PermitMessage::Granted(Grant {
            rank: self.rank(&permit),
            permit,
            cached: self.prefixes.cached(prefix),
            summary: self.summary(now),
        })
    }

    /// Wait after which a request claims memory before others. A group's parts hold others up: at once.
    fn ages_after(&self, band: Band, own: PrefillWork) -> Duration {
        match band {
            Band::Group => Duration::ZERO,
            _ => self.model.estimate(own).max(AGED_AFTER),
        }
    }

    fn rank(&self, permit: &PermitKey) -> Band {
        let entry = self.entries.get(&(permit.key, permit.attempt));
        entry.map_or(Band::Long, |entry| entry.rank)
    }

    /// Prefill of a request, without what the engine has in its cache.
    fn own(&self, ask: &PermitRequest) -> PrefillWork {
        PrefillWork::with_prompt(ask.demand.prompt, self.prefixes.cached(&ask.prefix))
    }

    /// Estimates a request that is not in the queue.
    fn course(&self, ask: &PermitRequest, now: Instant) -> Course {
        let demand = &ask.demand;
        let own = self.own(ask);
        let granted = self
            .granted_ahead(demand.band, now)
            .plus(own)
            .with_step(self.step_seconds);
        let all = granted.plus(self.queued_ahead(demand.band));
        let wait = self
            .memory_wait(demand.memory(), now)
            .max(self.adoption_wait(now));
        let first_token = self
            .model
            .estimate(all)
            .max(wait + self.model.estimate(own));
        Course {
            first_token,
            end: first_token + self.answer_time(demand.max_tokens),
            work: granted,
            own,
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
        let waiting = self.queue.iter().find(|waiting| waiting.is(*key, attempt));
        let first_token = waiting.map_or(Duration::ZERO, |waiting| {
            self.course(&waiting.ask, now).first_token
        });
        Quote {
            first_token: first_token.into(),
            summary: self.summary(now),
        }
    }

    fn refused(
        &self,
        demand: &Demand,
        reason: Reason,
        back: Option<Duration>,
        now: Instant,
    ) -> PermitMessage {
        PermitMessage::Refused(OwnerRefusal {
            permit: demand.permit.clone(),
            reason,
            retry_after: back.map(Millis::from),
            summary: Some(self.summary(now)),
        })
    }
}

/// Nobody of a band can be given a permit at present.
struct Blocked;

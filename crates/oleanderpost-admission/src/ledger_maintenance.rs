//! Upkeep of a ledger: renewals, news, expiry, doubtful entries.

use std::time::Duration;

use oleanderpost_types::{Attempt, HoldingKind, RequestKey, Tokens, VmId};
use tokio::time::Instant;

use crate::{
    Completion, Demand, PermitEvent, PermitKey, PermitRenewal, PrefillWork,
    ledger::Ledger,
    ledger_entry::{Entry, Phase},
};

/// Something on an engine whose holder must be asked, or that must be cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspect {
    pub(crate) permit: PermitKey,
    pub(crate) holder: Option<VmId>,
    pub(crate) kind: HoldingKind,
    /// Time since it was last known to be wanted.
    pub(crate) silent: Duration,
}

impl Ledger {
    /// Prolongs a permit, or takes it over from an earlier owner.
    pub(crate) fn renew(&mut self, renewal: &PermitRenewal, now: Instant) {
        self.used = now;
        let permit = &renewal.demand.permit;
        let expires = now + self.settings.permit_expiry;
        let key = (permit.key, permit.attempt);
        let known = self
            .entries
            .get_mut(&key)
            .filter(|entry| entry.demand.is_some());
        let Some(entry) = known else {
            let entry = self.taken_over(&renewal.demand, renewal.decoding, now);
            self.entries.insert(key, entry);
            return;
        };
        entry.expires = expires;
        entry.holder = Some(renewal.demand.holder.clone());
        if matches!(entry.phase, Phase::Doubtful(_)) || renewal.decoding {
            entry.phase = phase(renewal.decoding);
        }
    }

    fn taken_over(&self, demand: &Demand, decoding: bool, now: Instant) -> Entry {
        let own = PrefillWork::with_prompt(demand.prompt, Tokens::default());
        let first_token = now
            + if decoding {
                Duration::ZERO
            } else {
                self.model.estimate(own)
            };
        Entry {
            holder: Some(demand.holder.clone()),
            memory: demand.memory(),
            phase: phase(decoding),
            rank: demand.band,
            granted: now,
            expires: now + self.settings.permit_expiry,
            own,
            until_first: PrefillWork::default(),
            first_token,
            end: first_token + self.answer_time(demand.max_tokens),
            demand: Some(demand.clone()),
        }
    }

    /// Takes in what became of a permit.
    pub(crate) fn news(&mut self, permit: &PermitKey, news: PermitEvent, now: Instant) {
        let key = (permit.key, permit.attempt);
        match news {
            PermitEvent::FirstToken { after } => self.first_token(key, after.into(), now),
            PermitEvent::Closed {
                completion: Completion::NotSent,
                ..
            } => self.withdraw(permit),
            PermitEvent::Closed {
                completion,
                decoding,
            } => self.closed(key, completion, decoding.into()),
        }
    }

    fn first_token(&mut self, key: (RequestKey, Attempt), after: Duration, now: Instant) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !entry.prefills() {
            return;
        }
        entry.phase = Phase::Decoding;
        let work = entry.until_first;
        let greatest = entry
            .demand
            .as_ref()
            .map_or(Tokens::default(), |demand| demand.max_tokens);
        let group = entry.kind() == HoldingKind::Reservation;
        if work.tokens > 0.0 && !group {
            self.model.observe(work, after);
        }
        let end = now + self.answer_time(greatest);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.end = end;
        }
    }

    fn closed(&mut self, key: (RequestKey, Attempt), completion: Completion, decoding: Duration) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if completion.may_hold_memory() {
            entry.phase = Phase::Cancelling(entry.kind());
            return;
        }
        let greatest = entry.demand.as_ref().map(|demand| demand.max_tokens);
        self.entries.remove(&key);
        if let (Completion::Finished { tokens }, Some(greatest)) = (completion, greatest) {
            self.learn_answer(tokens, greatest, decoding);
        }
    }

    /// Takes back a request that waits, or a permit that was never used.
    pub(crate) fn withdraw(&mut self, permit: &PermitKey) {
        self.queue.remove(permit.key, permit.attempt);
        let key = (permit.key, permit.attempt);
        if self.entries.get(&key).is_some_and(Entry::prefills) {
            self.entries.remove(&key);
        }
    }

    /// Marks what is no longer renewed; returns how many.
    pub(crate) fn expire(&mut self, now: Instant) -> usize {
        self.queue.expire(now);
        let mut expired = 0;
        for entry in self.entries.values_mut() {
            let running = matches!(entry.phase, Phase::Prefill | Phase::Decoding);
            if running && entry.expires <= now {
                entry.phase = Phase::Doubtful(entry.kind());
                expired += 1;
            }
        }
        expired
    }

    /// Entries whose holders must be asked.
    pub(crate) fn doubtful(&self, now: Instant) -> Vec<Suspect> {
        self.suspects(now, |phase| matches!(phase, Phase::Doubtful(_)))
    }

    /// Entries that must be cancelled on the engine.
    pub(crate) fn cancelling(&self, now: Instant) -> Vec<Suspect> {
        self.suspects(now, |phase| matches!(phase, Phase::Cancelling(_)))
    }

    fn suspects(&self, now: Instant, wanted: impl Fn(Phase) -> bool) -> Vec<Suspect> {
        let entries = self.entries.iter().filter(|(_, entry)| wanted(entry.phase));
        entries
            .map(|((key, attempt), entry)| Suspect {
                permit: PermitKey {
                    upstream: self.upstream.clone(),
                    key: *key,
                    attempt: *attempt,
                },
                holder: entry.holder.clone(),
                kind: entry.kind(),
                silent: now.saturating_duration_since(entry.expires),
            })
            .collect()
    }

    /// Condemns an entry that nobody uses, unless it was renewed meanwhile.
    pub(crate) fn condemn(&mut self, permit: &PermitKey) {
        if let Some(entry) = self.entries.get_mut(&(permit.key, permit.attempt))
            && let Phase::Doubtful(kind) = entry.phase
        {
            entry.phase = Phase::Cancelling(kind);
        }
    }

    /// The engine has confirmed that it holds nothing of this entry.
    pub(crate) fn freed(&mut self, permit: &PermitKey) {
        let key = (permit.key, permit.attempt);
        let cancelled = |entry: &Entry| matches!(entry.phase, Phase::Cancelling(_));
        if self.entries.get(&key).is_some_and(cancelled) {
            self.entries.remove(&key);
        }
    }
}

const fn phase(decoding: bool) -> Phase {
    if decoding {
        Phase::Decoding
    } else {
        Phase::Prefill
    }
}

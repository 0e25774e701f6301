//! Maintenance of a ledger: renewals, permit events, expiry, unconfirmed entries.

use std::time::Duration;

use oleanderpost_types::{Attempt, HoldingKind, RequestKey, Tokens, VmId};
use tokio::time::Instant;

use crate::{
    Completion, Demand, PermitEvent, PermitKey, PermitRenewal, PrefillWork,
    ledger::Ledger,
    ledger_entry::{LedgerEntry, Phase},
};

/// A holding on an engine that is unconfirmed or being cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SuspectHolding {
    pub(crate) permit: PermitKey,
    pub(crate) holder: Option<VmId>,
    pub(crate) kind: HoldingKind,
    /// Time since it should have been renewed.
    pub(crate) expired_for: Duration,
}

impl Ledger {
    /// Extends a permit, or adds one that a previous owner granted.
    pub(crate) fn renew(&mut self, renewal: &PermitRenewal, now: Instant) {
        self.last_used = now;
        let permit = &renewal.demand.permit;
        let renewal_due = now + self.settings.permit_expiry;
        let key = (permit.key, permit.attempt);
        let known_entry = self
            .entries
            .get_mut(&key)
            .filter(|entry| entry.demand.is_some());
        let Some(entry) = known_entry else {
            let entry = self.adopted_entry(&renewal.demand, renewal.decoding, now);
            self.entries.insert(key, entry);
            return;
        };
        entry.renewal_due = renewal_due;
        entry.holder = Some(renewal.demand.holder.clone());
        if matches!(entry.phase, Phase::Unconfirmed(_)) || renewal.decoding {
            entry.phase = phase(renewal.decoding);
        }
    }

    fn adopted_entry(&self, demand: &Demand, decoding: bool, now: Instant) -> LedgerEntry {
        let own_prefill = PrefillWork::with_prompt(demand.prompt, Tokens::default());
        let first_token_at = now
            + if decoding {
                Duration::ZERO
            } else {
                self.model.estimate(own_prefill)
            };
        LedgerEntry {
            holder: Some(demand.holder.clone()),
            memory: demand.memory(),
            phase: phase(decoding),
            rank: demand.band,
            granted_at: now,
            renewal_due: now + self.settings.permit_expiry,
            own_prefill,
            work_to_first_token: PrefillWork::default(),
            first_token_at,
            end_estimate: first_token_at + self.expected_decoding(demand.max_tokens),
            demand: Some(demand.clone()),
        }
    }

    /// Applies an event reported by the permit's holder.
    pub(crate) fn apply_event(&mut self, permit: &PermitKey, event: PermitEvent, now: Instant) {
        let key = (permit.key, permit.attempt);
        match event {
            PermitEvent::FirstToken { after } => self.record_first_token(key, after.into(), now),
            PermitEvent::Closed {
                completion: Completion::NotSent,
                ..
            } => self.withdraw(permit),
            PermitEvent::Closed {
                completion,
                decoding,
            } => self.record_closed(key, completion, decoding.into()),
        }
    }

    fn record_first_token(&mut self, key: (RequestKey, Attempt), after: Duration, now: Instant) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !entry.is_prefilling() {
            return;
        }
        entry.phase = Phase::Decoding;
        let work = entry.work_to_first_token;
        let max_tokens = entry
            .demand
            .as_ref()
            .map_or(Tokens::default(), |demand| demand.max_tokens);
        let group = entry.kind() == HoldingKind::Reservation;
        if work.tokens > 0.0 && !group {
            self.model.observe(work, after);
        }
        let end_estimate = now + self.expected_decoding(max_tokens);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.end_estimate = end_estimate;
        }
    }

    fn record_closed(
        &mut self,
        key: (RequestKey, Attempt),
        completion: Completion,
        decoding: Duration,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if completion.may_hold_memory() {
            entry.phase = Phase::Cancelling(entry.kind());
            return;
        }
        let max_tokens = entry.demand.as_ref().map(|demand| demand.max_tokens);
        self.entries.remove(&key);
        if let (Completion::Finished { tokens }, Some(max_tokens)) = (completion, max_tokens) {
            self.record_answer(tokens, max_tokens, decoding);
        }
    }

    /// Removes a queued request, or a permit that was never used.
    pub(crate) fn withdraw(&mut self, permit: &PermitKey) {
        self.queue.remove(permit.key, permit.attempt);
        let key = (permit.key, permit.attempt);
        if self
            .entries
            .get(&key)
            .is_some_and(LedgerEntry::is_prefilling)
        {
            self.entries.remove(&key);
        }
    }

    /// Marks entries that were not renewed as unconfirmed and returns their number.
    pub(crate) fn expire(&mut self, now: Instant) -> usize {
        self.queue.expire(now);
        let mut expired = 0;
        for entry in self.entries.values_mut() {
            let running = matches!(entry.phase, Phase::Prefill | Phase::Decoding);
            if running && entry.renewal_due <= now {
                entry.phase = Phase::Unconfirmed(entry.kind());
                expired += 1;
            }
        }
        expired
    }

    /// Entries whose holders must be asked whether they still use them.
    pub(crate) fn unconfirmed(&self, now: Instant) -> Vec<SuspectHolding> {
        self.suspects(now, |phase| matches!(phase, Phase::Unconfirmed(_)))
    }

    /// Entries that must be cancelled on the engine.
    pub(crate) fn cancelling(&self, now: Instant) -> Vec<SuspectHolding> {
        self.suspects(now, |phase| matches!(phase, Phase::Cancelling(_)))
    }

    fn suspects(&self, now: Instant, wanted: impl Fn(Phase) -> bool) -> Vec<SuspectHolding> {
        let entries = self.entries.iter().filter(|(_, entry)| wanted(entry.phase));
        entries
            .map(|((key, attempt), entry)| SuspectHolding {
                permit: PermitKey {
                    upstream: self.upstream.clone(),
                    key: *key,
                    attempt: *attempt,
                },
                holder: entry.holder.clone(),
                kind: entry.kind(),
                expired_for: now.saturating_duration_since(entry.renewal_due),
            })
            .collect()
    }

    /// Marks an entry that nobody uses for cancelling, unless it was renewed in the meantime.
    pub(crate) fn mark_cancelling(&mut self, permit: &PermitKey) {
        if let Some(entry) = self.entries.get_mut(&(permit.key, permit.attempt))
            && let Phase::Unconfirmed(kind) = entry.phase
        {
            entry.phase = Phase::Cancelling(kind);
        }
    }

    /// Removes a cancelled entry after the engine confirmed that it holds nothing for it.
    pub(crate) fn confirm_freed(&mut self, permit: &PermitKey) {
        let key = (permit.key, permit.attempt);
        let cancelled = |entry: &LedgerEntry| matches!(entry.phase, Phase::Cancelling(_));
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

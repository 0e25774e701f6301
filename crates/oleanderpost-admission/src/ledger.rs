//! [`Ledger`].

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use oleanderpost_types::{
    Attempt, Holding, HoldingKind, LoadReport, RequestKey, Tokens, UpstreamId,
};
use tokio::time::Instant;

use crate::{
    Band, EngineDump, EngineSummary, FirstTokenModel, PrefillWork, Settings,
    fleet::SHORT_MEMORY_DIVISOR,
    ledger_entry::{LedgerEntry, Phase},
    prefix_cache::PrefixCache,
    queue::Queue,
};

/// Weight of a new observation in a moving average.
const AVERAGE_WEIGHT: f64 = 0.1;

/// State that an engine's owner keeps: memory and prefill in use, queued requests, learned speed.
#[derive(Debug)]
pub(crate) struct Ledger {
    pub(crate) upstream: UpstreamId,
    pub(crate) memory: Tokens,
    pub(crate) adoption: Adoption,
    pub(crate) entries: BTreeMap<(RequestKey, Attempt), LedgerEntry>,
    pub(crate) queue: Queue,
    pub(crate) prefixes: PrefixCache,
    pub(crate) model: FirstTokenModel,
    /// Smoothed step duration in seconds.
    pub(crate) step_seconds: f64,
    /// Smoothed time between two tokens in seconds; `None` before the first observation.
    pub(crate) seconds_per_token: Option<f64>,
    /// Smoothed ratio of answer length to `max_tokens`.
    pub(crate) answer_length_ratio: f64,
    pub(crate) settings: Settings,
    /// Time of the last permit request or renewal.
    pub(crate) last_used: Instant,
    pub(crate) next_load: Instant,
    pub(crate) next_reconcile: Instant,
    pub(crate) next_cancel: Instant,
}

/// Progress of a new owner in taking over an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// The engine's holdings have not been read yet.
    Reading,
    /// Until this time, permits of the previous owner may still be used.
    Waiting(Instant),
    /// The ledger is complete.
    Done,
}

impl Ledger {
    pub(crate) fn new(
        upstream: UpstreamId,
        memory: Tokens,
        settings: Settings,
        now: Instant,
    ) -> Self {
        Self {
            upstream,
            memory,
            adoption: Adoption::Reading,
            entries: BTreeMap::new(),
            queue: Queue::default(),
            prefixes: PrefixCache::default(),
            model: FirstTokenModel::default(),
            step_seconds: 0.0,
            seconds_per_token: None,
            answer_length_ratio: 1.0,
            settings,
            last_used: now,
            next_load: now,
            next_reconcile: now,
            next_cancel: now,
        }
    }

    /// Sets the initial model of the engine's speed.
    pub(crate) fn with_model(self, model: FirstTokenModel) -> Self {
        Self { model, ..self }
    }

    /// Discards entries and queue and starts over like a new owner.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.adoption = Adoption::Reading;
        self.entries.clear();
        self.queue = Queue::default();
        self.next_reconcile = now;
    }

    pub(crate) fn is_adopted(&self) -> bool {
        self.adoption == Adoption::Done
    }

    /// Completes the takeover once permits of the previous owner can no longer be used.
    pub(crate) fn complete_adoption_if_due(&mut self, now: Instant) {
        if let Adoption::Waiting(until) = self.adoption
            && now >= until
        {
            self.adoption = Adoption::Done;
        }
    }

    /// Reconciles the entries with the holdings that the engine reported for a request at `requested_at`.
    pub(crate) fn reconcile(&mut self, holdings: &[Holding], requested_at: Instant, now: Instant) {
        for holding in holdings {
            if !self.entries.keys().any(|key| is_holding_of(holding, key)) {
                let key = (holding.key, holding.attempt);
                self.entries.insert(key, unconfirmed_entry(holding, now));
            }
        }
        let held = |key: &(RequestKey, Attempt)| {
            holdings.iter().any(|holding| is_holding_of(holding, key))
        };
        self.entries.retain(|key, entry| match entry.phase {
            Phase::Prefill | Phase::Decoding => true,
            Phase::Unconfirmed(_) | Phase::Cancelling(_) => {
                held(key) || entry.granted_at > requested_at
            }
        });
        if self.adoption == Adoption::Reading {
            let wait = self
                .settings
                .dispatch_window
                .max(self.settings.renew_period);
            self.adoption = Adoption::Waiting(now + wait);
        }
    }

    /// Updates the smoothed step duration from a load report.
    pub(crate) fn record_load(&mut self, report: &LoadReport) {
        let step = Duration::from(report.step).as_secs_f64();
        self.step_seconds = if self.step_seconds == 0.0 {
            step
        } else {
            (self.step_seconds + step) / 2.0
        };
    }

    /// Updates the smoothed decoding statistics from a finished answer.
    pub(crate) fn record_answer(
        &mut self,
        generated: Tokens,
        max_tokens: Tokens,
        decoding: Duration,
    ) {
        let tokens = generated.get() as f64;
        if generated.get() > 1 {
            let gap = decoding.as_secs_f64() / (tokens - 1.0);
            let average = self.seconds_per_token.unwrap_or(gap);
            self.seconds_per_token = Some(average + AVERAGE_WEIGHT * (gap - average));
        }
        if max_tokens.get() > 0 {
            let ratio = (tokens / max_tokens.get() as f64).min(1.0);
            self.answer_length_ratio += AVERAGE_WEIGHT * (ratio - self.answer_length_ratio);
        }
    }

    /// Expected time from the first token to the end of the answer.
    pub(crate) fn expected_decoding(&self, max_tokens: Tokens) -> Duration {
        let gap = self.seconds_per_token.unwrap_or(self.step_seconds);
        Duration::from_secs_f64((max_tokens.get() as f64 * self.answer_length_ratio * gap).min(1e6))
    }

    /// Memory that all entries together may use.
    pub(crate) fn held_memory(&self) -> Tokens {
        let held = self.entries.values().map(|entry| entry.memory.get()).sum();
        Tokens::new(held)
    }

    pub(crate) fn free_memory(&self) -> Tokens {
        self.memory.saturating_sub(self.held_memory())
    }

    /// Free memory that a request of this band may use. Long prompts leave some to shorter ones, unless
    /// the request would then not fit on the engine at all.
    pub(crate) fn available_memory(&self, band: Band, need: Tokens) -> Tokens {
        let reserved = Tokens::new(self.memory.get() / SHORT_MEMORY_DIVISOR);
        let fits_beside_reserve = need.saturating_add(reserved) <= self.memory;
        match band {
            Band::Long if fits_beside_reserve => self.free_memory().saturating_sub(reserved),
            _ => self.free_memory(),
        }
    }

    /// Remaining prefill of granted entries that the engine processes before a prompt of this band.
    pub(crate) fn granted_ahead(&self, band: Band, now: Instant) -> PrefillWork {
        let entries = self.entries.values().filter(|entry| entry.is_prefilling());
        let ahead = entries.filter(|entry| entry.demand.as_ref().is_some_and(|d| d.band >= band));
        ahead
            .map(|entry| entry.remaining_prefill(now))
            .fold(PrefillWork::default(), PrefillWork::plus)
    }

    /// Prefill of queued requests that are granted before a prompt of this band.
    pub(crate) fn queued_ahead(&self, band: Band) -> PrefillWork {
        let ahead = self.queue.iter().map(|queued| &queued.request.demand);
        ahead
            .filter(|demand| demand.band >= band)
            .map(|demand| PrefillWork::with_prompt(demand.prompt, Tokens::default()))
            .fold(PrefillWork::default(), PrefillWork::plus)
    }

    pub(crate) fn prefill_ahead(&self, band: Band, now: Instant) -> PrefillWork {
        self.granted_ahead(band, now).plus(self.queued_ahead(band))
    }

    /// Number of granted long prompts whose prefill is not done.
    pub(crate) fn long_prefill_count(&self) -> usize {
        let longs = self.entries.values().filter(|entry| entry.is_prefilling());
        longs
            .filter(|entry| entry.demand.as_ref().is_some_and(|d| d.band.is_long()))
            .count()
    }

    /// Time until `need` is free, based on the estimated ends of the entries.
    pub(crate) fn memory_wait(&self, need: Tokens, now: Instant) -> Duration {
        let mut free = self.free_memory();
        let mut ends: Vec<_> = self
            .entries
            .values()
            .map(|entry| (entry.estimated_end(now), entry.memory))
            .collect();
        ends.sort();
        let mut wait = Duration::ZERO;
        for (end, memory) in ends {
            if free >= need {
                break;
            }
            free = free.saturating_add(memory);
            wait = end.saturating_duration_since(now);
        }
        wait
    }

    /// Summary for other nodes.
    pub(crate) fn summary(&self, now: Instant) -> EngineSummary {
        let queued = self.queue.iter().map(|queued| &queued.request.demand);
        let longs =
            self.long_prefill_count() + queued.filter(|demand| demand.band.is_long()).count();
        let nearly_all = self.memory.get() - self.memory.get() / SHORT_MEMORY_DIVISOR;
        let needs = [self.memory.get() / 2, nearly_all].map(Tokens::new);
        EngineSummary {
            upstream: self.upstream.clone(),
            free: self.free_memory(),
            ahead: [Band::Short, Band::Medium, Band::Long]
                .map(|band| self.prefill_ahead(band, now).into()),
            longs: u32::try_from(longs).unwrap_or(u32::MAX),
            memory_wait: needs.map(|need| self.memory_wait(need, now).into()),
            step: Duration::from_secs_f64(self.step_seconds).into(),
            model: self.model.clone(),
        }
    }
}

impl Ledger {
    /// State dump for operators.
    pub(crate) fn dump(&self, now: Instant) -> EngineDump {
        let adopting = match self.adoption {
            Adoption::Done => Duration::ZERO,
            Adoption::Waiting(until) => until.saturating_duration_since(now),
            Adoption::Reading => self.settings.dispatch_window,
        };
        let holders = self
            .entries
            .values()
            .filter_map(|entry| entry.holder.clone());
        let holders: BTreeSet<_> = holders.collect();
        EngineDump {
            upstream: self.upstream.clone(),
            memory: self.memory,
            held: self.held_memory(),
            adopting: adopting.into(),
            permits: self.entries.len(),
            queued: self.queue.len(),
            holders: holders.into_iter().collect(),
        }
    }
}

/// Whether a holding belongs to an entry. Reservations have no attempt number.
fn is_holding_of(holding: &Holding, key: &(RequestKey, Attempt)) -> bool {
    let same = holding.kind == HoldingKind::Reservation || holding.attempt == key.1;
    holding.key == key.0 && same
}

fn unconfirmed_entry(holding: &Holding, now: Instant) -> LedgerEntry {
    LedgerEntry {
        holder: holding.holder.clone(),
        memory: holding.tokens,
        demand: None,
        phase: Phase::Unconfirmed(holding.kind),
        rank: Band::Group,
        granted_at: now,
        renewal_due: now,
        own_prefill: PrefillWork::default(),
        work_to_first_token: PrefillWork::default(),
        first_token_at: now,
        end_estimate: now,
    }
}

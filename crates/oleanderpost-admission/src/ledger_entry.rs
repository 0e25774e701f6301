//! [`LedgerEntry`] and [`Phase`].

use oleanderpost_types::{HoldingKind, Tokens, VmId};
use tokio::time::Instant;

use crate::{Band, Demand, PrefillWork};

/// One line of an engine's ledger: something that holds memory there.
#[derive(Debug)]
pub(crate) struct LedgerEntry {
    /// Node that holds it, as far as known.
    pub(crate) holder: Option<VmId>,
    /// Memory it may come to hold.
    pub(crate) memory: Tokens,
    /// What the permit was given for; `None` for what was only found on the engine.
    pub(crate) demand: Option<Demand>,
    pub(crate) phase: Phase,
    /// Band whose priority it has at the engine.
    pub(crate) rank: Band,
    pub(crate) granted_at: Instant,
    /// When it expires unless it is renewed.
    pub(crate) renewal_due: Instant,
    /// Its own prefill.
    pub(crate) own_prefill: PrefillWork,
    /// All work that was before its first token.
    pub(crate) work_to_first_token: PrefillWork,
    /// Estimated moment of its first token.
    pub(crate) first_token_at: Instant,
    /// Estimated moment at which its memory is free.
    pub(crate) end_estimate: Instant,
}

/// How far an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Granted; its first token has not come.
    Prefill,
    /// It generates.
    Decoding,
    /// Found on the engine, or no longer renewed: its holder must be asked.
    Unconfirmed(HoldingKind),
    /// Being cancelled; its memory counts until the engine has confirmed.
    Cancelling(HoldingKind),
}

impl LedgerEntry {
    /// Whether its prefill is still to be done.
    pub(crate) fn is_prefilling(&self) -> bool {
        self.phase == Phase::Prefill
    }

    /// Prefill that is left, by the estimate.
    pub(crate) fn remaining_prefill(&self, now: Instant) -> PrefillWork {
        let whole = self
            .first_token_at
            .saturating_duration_since(self.granted_at);
        let left = self.first_token_at.saturating_duration_since(now);
        let share = left.as_secs_f64() / whole.as_secs_f64().max(1e-6);
        self.own_prefill
            .scaled(share.clamp(MIN_REMAINING_SHARE, 1.0))
    }

    /// Estimated moment at which its memory is free; one that overruns needs a part of its age more.
    pub(crate) fn estimated_end(&self, now: Instant) -> Instant {
        let age = now.saturating_duration_since(self.granted_at);
        self.end_estimate.max(now + age / OVERRUN_DIVISOR)
    }

    /// What kind of memory it has on the engine.
    pub(crate) fn kind(&self) -> HoldingKind {
        match (self.phase, &self.demand) {
            (Phase::Unconfirmed(kind) | Phase::Cancelling(kind), _) => kind,
            (_, Some(demand)) if demand.band == Band::Group => HoldingKind::Reservation,
            _ => HoldingKind::Stream,
        }
    }
}

/// Part of its age that an entry which overruns is given, as a divisor.
const OVERRUN_DIVISOR: u32 = 10;
/// Share of a prefill that counts as left until its first token is reported.
const MIN_REMAINING_SHARE: f64 = 0.05;

//! [`Entry`] and [`Phase`].

use oleanderpost_types::{HoldingKind, Tokens, VmId};
use tokio::time::Instant;

use crate::{Band, Demand, PrefillWork};

/// One line of an engine's ledger: something that holds memory there.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Node that holds it, as far as known.
    pub(crate) holder: Option<VmId>,
    /// Memory it may come to hold.
    pub(crate) memory: Tokens,
    /// What the permit was given for; `None` for what was only found on the engine.
    pub(crate) demand: Option<Demand>,
    pub(crate) phase: Phase,
    /// Band whose priority it has at the engine.
    pub(crate) rank: Band,
    pub(crate) granted: Instant,
    /// When it expires unless it is renewed.
    pub(crate) expires: Instant,
    /// Its own prefill.
    pub(crate) own: PrefillWork,
    /// All work that was before its first token.
    pub(crate) until_first: PrefillWork,
    /// Estimated moment of its first token.
    pub(crate) first_token: Instant,
    /// Estimated moment at which its memory is free.
    pub(crate) end: Instant,
}

/// How far an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Granted; its first token has not come.
    Prefill,
    /// It generates.
    Decoding,
    /// Found on the engine, or no longer renewed: its holder must be asked.
    Doubtful(HoldingKind),
    /// Being cancelled; its memory counts until the engine has confirmed.
    Cancelling(HoldingKind),
}

impl Entry {
    /// Whether its prefill is still to be done.
    pub(crate) fn prefills(&self) -> bool {
        self.phase == Phase::Prefill
    }

    /// Prefill that is left, by the estimate.
    pub(crate) fn left(&self, now: Instant) -> PrefillWork {
        let whole = self.first_token.saturating_duration_since(self.granted);
        let left = self.first_token.saturating_duration_since(now);
        let share = left.as_secs_f64() / whole.as_secs_f64().max(1e-6);
        self.own.scaled(share.clamp(LEAST_LEFT, 1.0))
    }

    /// Estimated moment at which its memory is free; one that overruns needs a part of its age more.
    pub(crate) fn end_at(&self, now: Instant) -> Instant {
        let age = now.saturating_duration_since(self.granted);
        self.end.max(now + age / OVERRUN)
    }

    /// What kind of memory it has on the engine.
    pub(crate) fn kind(&self) -> HoldingKind {
        match (self.phase, &self.demand) {
            (Phase::Doubtful(kind) | Phase::Cancelling(kind), _) => kind,
            (_, Some(demand)) if demand.band == Band::Group => HoldingKind::Reservation,
            _ => HoldingKind::Stream,
        }
    }
}

/// Part of its age that an entry which overruns is given, as a divisor.
const OVERRUN: u32 = 10;
/// Share of a prefill that counts as left until its first token is reported.
const LEAST_LEFT: f64 = 0.05;

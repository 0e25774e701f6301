//! [`LedgerEntry`] and [`Phase`].

use oleanderpost_types::{HoldingKind, Tokens, VmId};
use tokio::time::Instant;

use crate::{Band, Demand, PrefillWork};

/// Entry of an engine's ledger: a permit or holding that uses memory on the engine.
#[derive(Debug)]
pub(crate) struct LedgerEntry {
    /// Node that holds the permit, if known.
    pub(crate) holder: Option<VmId>,
    /// Maximum memory that it may use.
    pub(crate) memory: Tokens,
    /// Demand of the permit; `None` for a holding found on the engine without a known permit.
    pub(crate) demand: Option<Demand>,
    pub(crate) phase: Phase,
    /// Band that determines its priority at the engine.
    pub(crate) rank: Band,
    pub(crate) granted_at: Instant,
    /// Time at which it expires unless renewed.
    pub(crate) renewal_due: Instant,
    /// Prefill work of this request alone.
    pub(crate) own_prefill: PrefillWork,
    /// All work before its first token, including work ahead of it, as estimated at the grant.
    pub(crate) work_to_first_token: PrefillWork,
    /// Estimated time of its first token.
    pub(crate) first_token_at: Instant,
    /// Estimated time at which its memory is freed.
    pub(crate) end_estimate: Instant,
}

/// Phase of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Granted; its first token has not been reported.
    Prefill,
    /// Generating tokens.
    Decoding,
    /// Found on the engine, or no longer renewed; its holder must be asked whether it is still used.
    Unconfirmed(HoldingKind),
    /// Being cancelled; its memory counts as used until the engine confirms that it is free.
    Cancelling(HoldingKind),
}

impl LedgerEntry {
    /// Whether its first token has not been reported, so that its prefill may still be running.
    pub(crate) fn is_prefilling(&self) -> bool {
        self.phase == Phase::Prefill
    }

    /// Estimated remaining prefill work.
    pub(crate) fn remaining_prefill(&self, now: Instant) -> PrefillWork {
        let total = self
            .first_token_at
            .saturating_duration_since(self.granted_at);
        let remaining = self.first_token_at.saturating_duration_since(now);
        let share = remaining.as_secs_f64() / total.as_secs_f64().max(1e-6);
        self.own_prefill
            .scaled(share.clamp(MIN_REMAINING_SHARE, 1.0))
    }

    /// Estimated time at which its memory is freed, but at least a fraction of its age from now.
    pub(crate) fn estimated_end(&self, now: Instant) -> Instant {
        let age = now.saturating_duration_since(self.granted_at);
        self.end_estimate.max(now + age / OVERRUN_DIVISOR)
    }

    /// Kind of memory that it holds on the engine.
    pub(crate) fn kind(&self) -> HoldingKind {
        match (self.phase, &self.demand) {
            (Phase::Unconfirmed(kind) | Phase::Cancelling(kind), _) => kind,
            (_, Some(demand)) if demand.band == Band::Group => HoldingKind::Reservation,
            _ => HoldingKind::Stream,
        }
    }
}

/// An entry is assumed to hold its memory for at least its age divided by this.
const OVERRUN_DIVISOR: u32 = 10;
/// Minimum share of a prefill that counts as remaining until the first token is reported.
const MIN_REMAINING_SHARE: f64 = 0.05;

//! [`LoadReport`] and its parts.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use oleanderpost::types::Tokens;

use crate::{
    audit::Audit,
    call_stats::{CallStats, Percentiles},
    ending::EndingCounts,
};

/// Result of a load run.
#[derive(Debug, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) seed: u64,
    pub(crate) phases: Vec<PhaseReport>,
    /// Requests by the second of their intended arrival, since the start of the run.
    pub(crate) seconds: Vec<SecondReport>,
    /// Number of requests by the reason why the answer was not whole.
    pub(crate) details: BTreeMap<String, u64>,
    /// Comparison with the engines' evidence, if it was requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) audit: Option<Audit>,
}

/// Result of one phase.
#[derive(Debug, Serialize)]
pub(crate) struct PhaseReport {
    pub(crate) rate: f64,
    pub(crate) seconds: f64,
    pub(crate) endings: EndingCounts,
    /// Whole answers per second of the phase.
    pub(crate) goodput: f64,
    /// Generated tokens per second of the phase.
    pub(crate) tokens_per_second: f64,
    pub(crate) classes: Vec<ClassReport>,
}

/// Result of one class of prompt lengths.
#[derive(Debug, Serialize)]
pub(crate) struct ClassReport {
    pub(crate) up_to: Tokens,
    pub(crate) endings: EndingCounts,
    pub(crate) first_token: Percentiles,
    pub(crate) between_tokens: Percentiles,
}

/// Requests whose intended arrival was in one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct SecondReport {
    pub(crate) offered: u64,
    pub(crate) whole: u64,
}

impl ClassReport {
    pub(crate) fn new(up_to: Tokens, stats: &CallStats) -> Self {
        Self {
            up_to,
            endings: stats.endings,
            first_token: stats.first_token(),
            between_tokens: stats.between_tokens(),
        }
    }
}

impl LoadReport {
    /// Whether the endings of all phases pass and the audit, if there is one, agrees.
    pub(crate) fn passed(&self) -> bool {
        let endings_passed = self.phases.iter().all(|phase| phase.endings.passed());
        endings_passed && self.audit.as_ref().is_none_or(Audit::passed)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for phase in &self.phases {
            phase.fmt(f)?;
        }
        for (detail, count) in &self.details {
            writeln!(f, "{count:>8}  {detail}")?;
        }
        match &self.audit {
            Some(audit) => audit.fmt(f),
            None => Ok(()),
        }
    }
}

impl fmt::Display for PhaseReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests/s for {} s: {} offered, {:.1} whole/s, {:.0} tokens/s",
            self.rate,
            self.seconds,
            self.endings.total(),
            self.goodput,
            self.tokens_per_second
        )?;
        writeln!(
            f,
            "{:>9} {:>7} {:>6} {:>7} {:>6} {:>7} {:>6} {:>6}  {:>32}  {:>23}",
            "up to",
            "whole",
            "late",
            "not_run",
            "failed",
            "unknown",
            "broken",
            "unsent",
            "first token p50/p95/p99/max ms",
            "between p50/p95/p99 ms"
        )?;
        self.classes.iter().try_for_each(|class| class.fmt(f))?;
        writeln!(f)
    }
}

impl fmt::Display for ClassReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (endings, first_token, between_tokens) =
            (&self.endings, &self.first_token, &self.between_tokens);
        let first_token = format!(
            "{:.1}/{:.1}/{:.1}/{:.1}",
            first_token.p50_ms, first_token.p95_ms, first_token.p99_ms, first_token.max_ms
        );
        let between_tokens = format!(
            "{:.1}/{:.1}/{:.1}",
            between_tokens.p50_ms, between_tokens.p95_ms, between_tokens.p99_ms
        );
        writeln!(
            f,
            "{:>9} {:>7} {:>6} {:>7} {:>6} {:>7} {:>6} {:>6}  {first_token:>32}  {between_tokens:>23}",
            self.up_to,
            endings.whole,
            endings.late,
            endings.not_run,
            endings.failed,
            endings.unknown,
            endings.broken,
            endings.unreachable + endings.unsent
        )
    }
}

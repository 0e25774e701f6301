//! [`Ending`] and [`EndingCounts`].

use serde::Serialize;

use oleanderpost::types::Outcome;

/// How a request of a load run ended, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The answer was whole and arrived within the time limit.
    Whole,
    /// The answer was whole but arrived after the time limit.
    Late,
    /// The request was refused or failed, with a stated outcome.
    Problem(Outcome),
    /// The answer was wrong or ended without a stated reason.
    Broken,
    /// No target accepted a connection.
    Unreachable,
    /// The request was not sent because too many requests were open.
    Unsent,
}

/// Number of requests by ending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct EndingCounts {
    pub(crate) whole: u64,
    pub(crate) late: u64,
    pub(crate) not_run: u64,
    pub(crate) failed: u64,
    pub(crate) unknown: u64,
    pub(crate) broken: u64,
    pub(crate) unreachable: u64,
    pub(crate) unsent: u64,
}

impl EndingCounts {
    pub(crate) fn record(&mut self, ending: Ending) {
        let count = match ending {
            Ending::Whole => &mut self.whole,
            Ending::Late => &mut self.late,
            Ending::Problem(Outcome::NotRun) => &mut self.not_run,
            Ending::Problem(Outcome::Failed) => &mut self.failed,
            Ending::Problem(Outcome::Unknown) => &mut self.unknown,
            Ending::Broken => &mut self.broken,
            Ending::Unreachable => &mut self.unreachable,
            Ending::Unsent => &mut self.unsent,
        };
        *count += 1;
    }

    pub(crate) fn total(&self) -> u64 {
        self.whole
            + self.late
            + self.not_run
            + self.failed
            + self.unknown
            + self.broken
            + self.unreachable
            + self.unsent
    }

    /// Whether each request got a whole answer in time, or was refused or failed with a stated outcome.
    pub(crate) fn passed(&self) -> bool {
        self.late + self.broken + self.unreachable + self.unsent == 0
    }
}

impl std::ops::Add for EndingCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            whole: self.whole + other.whole,
            late: self.late + other.late,
            not_run: self.not_run + other.not_run,
            failed: self.failed + other.failed,
            unknown: self.unknown + other.unknown,
            broken: self.broken + other.broken,
            unreachable: self.unreachable + other.unreachable,
            unsent: self.unsent + other.unsent,
        }
    }
}

//! [`Failure`].

use std::time::Duration;

use oleanderpost::{
    admission::{Reason, Refusal},
    dispatch,
    types::{Millis, Outcome, Problem},
};

use crate::{Call, Error, ProblemKind};

/// Kind of the problem with which an upstream says that it takes no new work any more.
const LEAVING_KIND: &str = "leaving";

/// Why one attempt at a request gave no whole answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The request cannot be served at all; no further attempt makes sense.
    Final(Problem),
    /// The upstream has certainly not run it.
    NotRun(String),
    /// The upstream has not run it because it is leaving.
    Leaving(String),
    /// The upstream may have run it, and the answer is lost.
    Lost(String),
    /// The caller has hung up.
    CallerGone,
}

impl Failure {
    /// Reads a failed exchange.
    pub(crate) fn from_error(e: &Error) -> Self {
        match e {
            Error::Refused { problem, .. } => Self::from_refusal(problem, e),
            e if e.is_not_run() => Self::NotRun(e.to_string()),
            e => Self::Lost(e.to_string()),
        }
    }

    /// Reads a stream that gives no further event.
    pub(crate) fn from_stream_error(e: &dispatch::Error) -> Self {
        match e {
            dispatch::Error::Refused { problem, .. } => Self::from_refusal(problem, e),
            e => Self::Lost(e.to_string()),
        }
    }

    fn from_refusal(problem: &Problem, e: &dyn std::fmt::Display) -> Self {
        match problem.outcome {
            Outcome::NotRun if problem.kind == LEAVING_KIND => Self::Leaving(e.to_string()),
            Outcome::NotRun => Self::NotRun(e.to_string()),
            Outcome::Failed | Outcome::Unknown => Self::Lost(e.to_string()),
        }
    }

    /// Whether no further attempt makes sense, whatever the request allows.
    pub(crate) fn is_final(&self) -> bool {
        matches!(self, Self::Final(_) | Self::CallerGone)
    }
}

/// Outcome of a request that gets no whole answer.
pub(crate) fn failure_outcome(call: &Call, may_have_run: bool) -> Outcome {
    match (may_have_run, call.repeatable) {
        (false, _) => Outcome::NotRun,
        (true, true) => Outcome::Failed,
        (true, false) => Outcome::Unknown,
    }
}

/// The problem that a caller gets after the last attempt.
pub(crate) fn upstream_problem(
    call: &Call,
    may_have_run: bool,
    detail: String,
    retry_after: Duration,
) -> Problem {
    let problem = ProblemKind::UpstreamFailed.problem(failure_outcome(call, may_have_run), detail);
    Problem {
        retry_after_ms: Some(Millis::from(retry_after)),
        ..problem
    }
}

/// The problem that a caller gets when admission refuses.
pub(crate) fn admission_problem(call: &Call, may_have_run: bool, refusal: &Refusal) -> Problem {
    let kind = match refusal.reason {
        Reason::UnknownService => ProblemKind::UnknownService,
        Reason::UnknownAccount => ProblemKind::Forbidden,
        Reason::Limit => ProblemKind::OverLimit,
        Reason::TooLarge => ProblemKind::TooLong,
        Reason::Deadline | Reason::Unavailable => ProblemKind::Overloaded,
    };
    Problem {
        retry_after_ms: refusal.retry_after,
        ..kind.problem(failure_outcome(call, may_have_run), refusal.to_string())
    }
}

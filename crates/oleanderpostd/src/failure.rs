//! [`Failure`].

use std::time::Duration;

use oleanderpost::{
    admission::{Reason, Refusal},
    dispatch,
    types::{Millis, Outcome, Problem},
};

use crate::{Call, Error, ProblemKind};

/// Problem type with which an upstream reports that it accepts no new requests.
const LEAVING_KIND: &str = "leaving";

/// Reason why an attempt at a request gave no complete answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The request cannot be served, and further attempts would fail too.
    Final(Problem),
    /// The upstream certainly did not run the request.
    NotRun(String),
    /// The upstream did not run the request because it is leaving.
    Leaving(String),
    /// The upstream may have run the request, and the answer is lost.
    Lost(String),
    /// The caller closed its connection.
    CallerGone,
}

impl Failure {
    /// Classifies the error of an exchange with an upstream.
    pub(crate) fn from_error(e: &Error) -> Self {
        match e {
            Error::Refused { problem, .. } => Self::from_refusal(problem, e),
            e if e.is_not_run() => Self::NotRun(e.to_string()),
            e => Self::Lost(e.to_string()),
        }
    }

    /// Classifies the error of a stream that ended before its last event.
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

    /// Whether the request must not be attempted again, even if it is repeatable.
    pub(crate) fn is_final(&self) -> bool {
        matches!(self, Self::Final(_) | Self::CallerGone)
    }
}

/// Outcome of a request that got no complete answer. `may_have_run` is whether any attempt may have run.
pub(crate) fn failure_outcome(call: &Call, may_have_run: bool) -> Outcome {
    match (may_have_run, call.repeatable) {
        (false, _) => Outcome::NotRun,
        (true, true) => Outcome::Failed,
        (true, false) => Outcome::Unknown,
    }
}

/// The problem to return to the caller when the last attempt at an upstream failed.
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

/// The problem to return to the caller when admission refused the request.
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

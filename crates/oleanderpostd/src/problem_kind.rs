//! [`ProblemKind`].

use std::time::Duration;

use oleanderpost::types::{Millis, Outcome, Problem};

/// Kind of a refusal or failure, as callers and metrics see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ProblemKind {
    /// The request is not well formed.
    BadRequest,
    /// No or no valid bearer token.
    Unauthorized,
    /// The account may not call the service.
    Forbidden,
    /// No such service.
    UnknownService,
    /// The body is longer than allowed.
    TooLarge,
    /// The account is over its limit.
    OverLimit,
    /// The fleet cannot finish the request in time now.
    Overloaded,
    /// The prompt needs more memory than the service has.
    TooLong,
    /// The node does not have what it needs to decide, such as a configuration.
    NotReady,
    /// The request's key is claimed by another try.
    AlreadyClaimed,
    /// The request's key cannot be claimed.
    ClaimRefused,
    /// The upstream failed.
    UpstreamFailed,
    /// The time limit has passed.
    TimedOut,
    /// The caller closed its connection.
    CallerGone,
}

impl ProblemKind {
    /// HTTP status code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::UnknownService => 404,
            Self::AlreadyClaimed => 409,
            Self::TooLarge => 413,
            Self::TooLong => 422,
            Self::OverLimit => 429,
            Self::UpstreamFailed => 502,
            Self::Overloaded | Self::NotReady | Self::ClaimRefused => 503,
            Self::TimedOut => 504,
            Self::CallerGone => 499,
        }
    }

    /// A problem of this kind.
    #[must_use]
    pub fn problem(self, outcome: Outcome, detail: impl Into<String>) -> Problem {
        Problem {
            kind: self.to_string(),
            status: self.status(),
            detail: detail.into(),
            outcome,
            retry_after_ms: None,
        }
    }

    /// A refusal of this kind: nothing ran.
    #[must_use]
    pub fn refusal(self, detail: impl Into<String>) -> Problem {
        self.problem(Outcome::NotRun, detail)
    }

    /// A refusal after which a later try makes sense.
    #[must_use]
    pub fn refusal_with_retry_after(
        self,
        retry_after: Duration,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            retry_after_ms: Some(Millis::from(retry_after)),
            ..self.refusal(detail)
        }
    }
}

impl std::fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::UnknownService => "unknown_service",
            Self::TooLarge => "too_large",
            Self::OverLimit => "over_limit",
            Self::Overloaded => "overloaded",
            Self::TooLong => "too_long",
            Self::NotReady => "not_ready",
            Self::AlreadyClaimed => "already_claimed",
            Self::ClaimRefused => "claim_refused",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
            Self::CallerGone => "caller_gone",
        })
    }
}

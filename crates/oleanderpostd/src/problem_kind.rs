//! [`ProblemKind`].

use std::time::Duration;

use oleanderpost::types::{Millis, Outcome, Problem};

/// Kind of a refusal or failure, used as problem type and as metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ProblemKind {
    /// The request is malformed.
    BadRequest,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The account is not allowed to call the service.
    Forbidden,
    /// The service does not exist.
    UnknownService,
    /// The body is larger than allowed.
    TooLarge,
    /// The account has exceeded one of its limits.
    OverLimit,
    /// The upstreams cannot complete the request in time at present.
    Overloaded,
    /// The request needs more memory than the engines of the service have.
    TooLong,
    /// The node lacks state that it needs, such as a configuration.
    NotReady,
    /// Another request has claimed the key.
    AlreadyClaimed,
    /// The key could not be claimed.
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

    /// Creates a problem of this kind.
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

    /// Creates a problem of this kind for a request that did not run.
    #[must_use]
    pub fn refusal(self, detail: impl Into<String>) -> Problem {
        self.problem(Outcome::NotRun, detail)
    }

    /// Creates a problem like [`Self::refusal`], with the delay after which the caller may retry.
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

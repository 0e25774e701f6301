//! [`Rejection`].

use std::time::Duration;

use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};

use crate::ResponseBody;

/// Least time that a caller is told to wait.
const LEAST_WAIT: Duration = Duration::from_millis(50);

/// Why a request gets no answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The request is malformed.
    Malformed(&'static str),
    /// The body is larger than the operator allows.
    TooLarge,
    /// The caller took too long to send it. It did not run.
    SlowCaller,
    /// No route leads there.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// It can't be served now and did not run; another try makes sense after this time.
    Busy(Duration),
    /// The node is about to stop. It did not run; another node takes it at once.
    Draining,
    /// The node does not know enough to decide. It did not run.
    NotReady,
    /// Upstreams failed; it may have run.
    UpstreamFailed,
    /// Time ran out; it may have run.
    TimedOut,
}

impl Rejection {
    /// Status of the answer.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Busy(_) | Self::Draining | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowCaller => "slow_caller",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Busy(_) => "busy",
            Self::Draining => "draining",
            Self::NotReady => "not_ready",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Time after which the caller should come back.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Busy(wait) => Some(wait.max(LEAST_WAIT)),
            Self::Draining => Some(LEAST_WAIT),
            Self::NotReady => Some(Duration::from_millis(500)),
            _ => None,
        }
    }

    /// The answer to the caller.
    #[must_use]
    pub fn response(self) -> Response<ResponseBody> {
        let text = match self {
            Self::Malformed(reason) => reason,
            _ => self.name(),
        };
        let mut resp = Response::new(ResponseBody::new(format!("{text}\n")));
        *resp.status_mut() = self.status();
        let headers = resp.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(wait) = self.retry_after() {
            let secs = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&secs) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        resp
    }
}

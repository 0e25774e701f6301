//! [`Rejection`].

use std::time::Duration;

use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};

use crate::ResponseBody;

/// Smallest value of the `Retry-After` header.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Delay after which a caller should retry while all upstreams of a service are evacuated. Evacuations last seconds to
/// hours, and rejecting a request costs little.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason why a request gets no response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The request is malformed.
    Malformed(&'static str),
    /// The body is larger than the operator allows.
    TooLarge,
    /// The caller took too long to send the body. The request did not run.
    SlowCaller,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request can't be served now and did not run; a retry makes sense after this time.
    Busy(Duration),
    /// The node is draining. The request did not run; another node can accept it immediately.
    Draining,
    /// The node has no usable configuration, or it is not known to be current. The request did not run.
    NotReady,
    /// A peer has relayed the request to this node, which can't serve it either. The request did not run.
    NoRelay,
    /// The request crashes the upstreams that run it. It did not run now; a retry makes sense after this time.
    Quarantined(Duration),
    /// All upstreams of the service are in evacuated data centres. The request did not run.
    Evacuated,
    /// Upstreams failed; the request may have run.
    UpstreamFailed,
    /// The time limit passed; the request may have run.
    TimedOut,
    /// The node stops before the upstream has answered; the request may have run.
    Interrupted,
}

impl Rejection {
    /// Status code of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowCaller => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Busy(_)
            | Self::Draining
            | Self::NotReady
            | Self::Quarantined(_)
            | Self::Evacuated => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRelay => StatusCode::MISDIRECTED_REQUEST,
            Self::UpstreamFailed | Self::Interrupted => StatusCode::BAD_GATEWAY,
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
            Self::NoRelay => "no_relay",
            Self::Quarantined(_) => "quarantined",
            Self::Evacuated => "evacuated",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
            Self::Interrupted => "interrupted",
        }
    }

    /// Time after which the caller should retry.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Busy(wait) | Self::Quarantined(wait) => Some(wait.max(MIN_RETRY_AFTER)),
            Self::Draining => Some(MIN_RETRY_AFTER),
            Self::Evacuated => Some(EVACUATED_RETRY_AFTER),
            Self::NotReady => Some(Duration::from_millis(500)),
            _ => None,
        }
    }

    /// Builds the response to the caller.
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

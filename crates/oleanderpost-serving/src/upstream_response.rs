//! [`UpstreamResponse`].

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, Response,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
    response::Parts,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::{
    AttemptError, ResponseBody, ResponseHead, RunStatus, UpstreamId,
    upstream_pool::{UpstreamConnection, UpstreamPool},
};

/// Largest response body that is buffered in memory, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 8 << 20;
/// Cause of errors of responses that end with their connection and are empty.
pub(crate) const CLOSED_AFTER_HEAD: &str = "connection closed after the head of the response";
/// Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 4] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Error while reading the body of a response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// The body did not end within the time limit.
    #[error("timed out while reading the response body")]
    TimedOut,
    /// The body is larger than what is buffered.
    #[error("{0}")]
    TooLarge(String),
    /// The connection failed, or the body is malformed.
    #[error("{0}")]
    Disconnected(String),
}

impl BodyError {
    /// The error of an attempt at `upstream` that failed for this reason.
    pub(crate) fn into_attempt_error(self, upstream: &UpstreamId) -> AttemptError {
        const STEP: &str = "read answer";
        match self {
            Self::Disconnected(_) => AttemptError::new_disconnected(STEP, upstream, self),
            _ => AttemptError::new(STEP, upstream, RunStatus::MayHaveRun, self),
        }
    }
}

/// Response of an upstream whose head has been received and whose body has not been read.
pub(crate) struct UpstreamResponse {
    pub(crate) parts: Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) connection: UpstreamConnection,
}

impl UpstreamResponse {
    /// Whether the response states no length, so that the end of the connection ends it.
    pub(crate) fn is_close_delimited(&self) -> bool {
        self.body.size_hint().exact().is_none()
            && !self.parts.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Reads the whole body, and returns the connection to the pool unless the upstream closes it.
    pub(crate) async fn collect(
        self,
        pool: &UpstreamPool,
        limit: Duration,
    ) -> Result<(Parts, Bytes), BodyError> {
        let is_close_delimited = self.is_close_delimited();
        let body = timeout(
            limit,
            Limited::new(self.body, MAX_BUFFERED_BODY_BYTES).collect(),
        )
        .await;
        let body = body.map_err(|_| BodyError::TimedOut)?;
        let body = body.map_err(|e| match e.is::<LengthLimitError>() {
            true => BodyError::TooLarge(e.to_string()),
            false => BodyError::Disconnected(e.to_string()),
        })?;
        let body = body.to_bytes();
        // An upstream that stops between the head and the body looks the same.
        if is_close_delimited && body.is_empty() && self.parts.status.is_success() {
            return Err(BodyError::Disconnected(CLOSED_AFTER_HEAD.to_owned()));
        }
        if self.head.allows_reuse() {
            pool.release(self.connection, self.head.keep_alive);
        }
        Ok((self.parts, body))
    }
}

/// A response to the caller with the status and the end-to-end headers of the upstream's response.
pub(crate) fn caller_response(parts: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut resp = Response::new(body);
    *resp.status_mut() = parts.status;
    *resp.headers_mut() = end_to_end_headers(&parts.headers);
    resp
}

/// Copies the headers except hop-by-hop headers and `Content-Length`, which is set again from the body.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    for name in HOP_BY_HOP.iter().chain([&CONTENT_LENGTH]) {
        end_to_end.remove(name);
    }
    end_to_end
}

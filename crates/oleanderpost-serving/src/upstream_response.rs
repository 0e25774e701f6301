//! [`UpstreamResponse`].

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, Response,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
    response::Parts,
};
use hyper::body::{Body, Incoming};

use crate::{
    AttemptError, BodyError, ResponseBody, ResponseHead, RunStatus, UpstreamId,
    body_reader::read_metered, metered_buf::MeteredBuf, upstream_client::UpstreamClient,
    upstream_pool::UpstreamConnection,
};

/// Largest body of a successful response that is buffered in memory, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Largest body of other responses, in bytes. They are error messages, and a sender of more is at fault.
const MAX_ERROR_BODY_BYTES: usize = 256 << 10;
/// Longest time for which the body of a server error is read. The request has failed whatever it says.
const SERVER_ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Cause of errors of responses that end with their connection and are empty.
pub(crate) const CLOSED_AFTER_HEAD: &str = "connection closed after the head of the response";
/// Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 4] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

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

    /// Reads the whole body within `limit`, and returns the connection to the pool unless the upstream closes it.
    pub(crate) async fn collect(
        self,
        client: &UpstreamClient,
        limit: Duration,
    ) -> Result<(Parts, Bytes), BodyError> {
        let is_close_delimited = self.is_close_delimited();
        let status = self.parts.status;
        let max_bytes = if status.is_success() {
            MAX_BODY_BYTES
        } else {
            MAX_ERROR_BODY_BYTES
        };
        let limit = if status.is_server_error() {
            limit.min(SERVER_ERROR_BODY_TIMEOUT)
        } else {
            limit
        };
        let buf = MeteredBuf::new(&client.response_memory, &self.connection.id);
        let body = read_metered(self.body, buf, max_bytes, limit).await?;
        // An upstream that stops between the head and the body looks the same.
        if is_close_delimited && body.is_empty() && status.is_success() {
            return Err(BodyError::Disconnected(CLOSED_AFTER_HEAD.to_owned()));
        }
        if self.head.allows_reuse() {
            client.release(self.connection, self.head.keep_alive);
        }
        Ok((self.parts, body))
    }
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

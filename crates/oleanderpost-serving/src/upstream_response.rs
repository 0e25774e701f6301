//! [`UpstreamResponse`].

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, Response,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
    response::Parts,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    ResponseBody, ResponseHead,
    upstream_pool::{UpstreamConnection, UpstreamPool},
};

/// Largest answer that is held in memory, in bytes.
const WHOLE_LIMIT: usize = 8 << 20;
/// Headers that concern one connection only (RFC 9110, 7.6.1).
const HOP_BY_HOP: [HeaderName; 4] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// An upstream's answer whose head is here.
pub(crate) struct UpstreamResponse {
    pub(crate) parts: Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) connection: UpstreamConnection,
}

impl UpstreamResponse {
    /// Reads the whole body, and keeps the connection for the next request.
    pub(crate) async fn collect(
        self,
        pool: &UpstreamPool,
        limit: Duration,
    ) -> Result<(Parts, Bytes), String> {
        let body = timeout(limit, Limited::new(self.body, WHOLE_LIMIT).collect()).await;
        let body = body.map_err(|_| "the answer did not end in time".to_owned())?;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        if !self.head.closes_connection {
            pool.keep(self.connection, self.head.keep_alive);
        }
        Ok((self.parts, body))
    }
}

/// An answer for the caller with the head of the upstream's.
pub(crate) fn response(parts: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut resp = Response::new(body);
    *resp.status_mut() = parts.status;
    *resp.headers_mut() = end_to_end(&parts.headers);
    resp
}

/// The headers that concern more than one connection; the length is set anew from the body.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in HOP_BY_HOP.iter().chain([&CONTENT_LENGTH]) {
        kept.remove(name);
    }
    kept
}

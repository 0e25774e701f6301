//! [`UpstreamCodec`].

use std::time::Duration;

use bytes::Bytes;
use http::{Request, request, response};
use http_body_util::Full;

use crate::{AttemptHeaders, RequestHead, ResponseHead};

/// Translates between HTTP headers and the request path. Implementations make no routing or retry decisions.
pub trait UpstreamCodec: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// A description of the fault, which is sent to the caller.
    fn parse_request(&self, parts: &request::Parts) -> Result<RequestHead, &'static str>;

    /// Builds the request to an upstream.
    fn build_request(
        &self,
        parts: &request::Parts,
        headers: &AttemptHeaders<'_>,
        body: Bytes,
    ) -> Request<Full<Bytes>>;

    /// Builds the request to a peer that forwards it to an upstream; `deadline` is the time left.
    fn build_relayed_request(
        &self,
        parts: &request::Parts,
        deadline: Duration,
        body: Bytes,
    ) -> Request<Full<Bytes>>;

    /// Parses the headers of an upstream's response.
    fn parse_response(&self, parts: &response::Parts) -> ResponseHead;
}

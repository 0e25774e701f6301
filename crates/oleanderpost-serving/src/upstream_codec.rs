//! [`UpstreamCodec`].

use bytes::Bytes;
use http::{Request, request, response};
use http_body_util::Full;

use crate::{AttemptHeaders, RequestHead, ResponseHead};

/// The form in which requests come from callers and go to upstreams. It decides nothing.
pub trait UpstreamCodec: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, &'static str>;

    /// Makes the request for an upstream.
    fn build_request(
        &self,
        head: &request::Parts,
        attempt: &AttemptHeaders<'_>,
        body: Bytes,
    ) -> Request<Full<Bytes>>;

    /// Reads the head of an upstream's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;
}

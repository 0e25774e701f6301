//! [`UpstreamCodec`].

use bytes::Bytes;
use http::{Request, request, response};
use http_body_util::Full;

use crate::{AnswerHead, AttemptHead, CallHead};

/// The form in which requests come from callers and go to upstreams. It decides nothing.
pub trait UpstreamCodec: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn call(&self, head: &request::Parts) -> Result<CallHead, &'static str>;

    /// Makes the request for an upstream.
    fn attempt(
        &self,
        head: &request::Parts,
        attempt: &AttemptHead<'_>,
        body: Bytes,
    ) -> Request<Full<Bytes>>;

    /// Reads the head of an upstream's answer.
    fn answer(&self, head: &response::Parts) -> AnswerHead;
}

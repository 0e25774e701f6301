//! [`PlainResponse`].

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

/// Whole answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainResponse {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers that go on to the caller.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

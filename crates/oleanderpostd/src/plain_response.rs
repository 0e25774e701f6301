//! [`PlainResponse`].

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

/// Complete response of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainResponse {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers to forward to the caller.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

//! [`PlainRequest`].

use bytes::Bytes;
use hyper::{HeaderMap, Method};

/// A request to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainRequest {
    /// Method.
    pub(crate) method: Method,
    /// Path within the service, with the query string.
    pub(crate) path: String,
    /// Headers to forward to the upstream.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

//! [`ResponseHead`].

use std::time::Duration;

use crate::{RequestId, RequestRate};

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued.
    pub waiting: u32,
}

/// Metadata in the headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the address now belongs to a process other than the expected one.
    pub wrong_upstream: bool,
    /// Whether the response carries the upstream's proof of origin.
    pub has_origin_proof: bool,
    /// Load of the upstream, if reported.
    pub load: Option<UpstreamLoad>,
    /// Whether the upstream closes the connection after this response.
    pub closes_connection: bool,
    /// How long the upstream keeps an idle connection open, if stated.
    pub keep_alive: Option<Duration>,
    /// Requests per second that the upstream accepts at present from all nodes together, if limited.
    pub request_limit: Option<RequestRate>,
    /// Whether the upstream states that it is shutting down.
    pub leaving: bool,
    /// How long the upstream wants no requests from this node, if it refused this one for that reason.
    pub pause: Option<Duration>,
    /// Time for which the upstream stays cold, if stated.
    pub cold_left: Option<Duration>,
    /// Name of a header whose value is invalid and was ignored.
    pub invalid_header: Option<&'static str>,
}

impl ResponseHead {
    /// Whether another request may be sent on the connection after this response.
    ///
    /// Some servers send a second copy of a response later. It is recognized by the identifier of its request, so the
    /// connection of a response without one is not used again: a copy of a refusal would make the next request look as
    /// if it had not run.
    #[must_use]
    pub fn allows_reuse(&self) -> bool {
        !self.closes_connection && self.request_id.is_some()
    }
}

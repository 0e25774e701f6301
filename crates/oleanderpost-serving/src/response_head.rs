//! [`ResponseHead`].

use std::time::Duration;

use crate::RequestId;

/// Load that an upstream adds to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an upstream's answer says, beside its status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Request that it answers.
    pub request_id: Option<RequestId>,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether another process than the expected one has the address.
    pub wrong_upstream: bool,
    /// Whether it carries the upstream's proof of origin.
    pub has_origin_proof: bool,
    /// Load.
    pub load: Option<UpstreamLoad>,
    /// Whether the upstream closes the connection.
    pub closes_connection: bool,
    /// Time for which the upstream keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

//! [`AttemptHeaders`].

use std::{net::SocketAddr, time::Duration};

use crate::{AccountName, UpstreamId};

/// Address of an engine that prefills part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperAddress {
    /// Address at which the engine accepts requests.
    pub address: SocketAddr,
    /// Identifier of the memory reservation for that part, if memory was reserved.
    pub reservation: Option<String>,
}

/// Values that the node adds to a request for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHeaders<'a> {
    /// Upstream process that the attempt is meant for; any other process must refuse it.
    pub upstream: &'a UpstreamId,
    /// Time left until the caller or the route gives up.
    pub deadline: Duration,
    /// Client account that the request belongs to.
    pub account: Option<&'a AccountName>,
    /// Priority at the engine; 0 is the highest.
    pub priority: Option<u8>,
    /// Engines that prefill parts of the prompt. If memory is reserved, the first is the engine that serves
    /// the request.
    pub helpers: Vec<HelperAddress>,
    /// Identifier of the last complete event that was forwarded to the caller.
    pub last_event_id: Option<u64>,
}

//! [`AttemptHeaders`].

use std::{net::SocketAddr, time::Duration};

use crate::{AccountName, UpstreamId};

/// An engine that reads part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperAddress {
    /// Address for requests.
    pub address: SocketAddr,
    /// Reservation that holds the memory of the part.
    pub reservation: Option<String>,
}

/// What one attempt adds to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHeaders<'a> {
    /// Process that is to take it; any other must refuse.
    pub upstream: &'a UpstreamId,
    /// Time left.
    pub deadline: Duration,
    /// Client account that sent it.
    pub account: Option<&'a AccountName>,
    /// Rank at the engine, 0 goes first.
    pub priority: Option<u8>,
    /// Engines that read parts of the prompt; with memory set aside, the first is the engine itself.
    pub helpers: Vec<HelperAddress>,
    /// Last whole event that was passed on.
    pub last_event_id: Option<u64>,
}

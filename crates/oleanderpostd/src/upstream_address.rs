//! [`UpstreamAddress`].

use std::net::SocketAddr;

use oleanderpost::types::UpstreamId;

/// Name and address of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamAddress {
    /// Name of the upstream.
    pub(crate) id: UpstreamId,
    /// Address of its HTTP listener.
    pub(crate) address: SocketAddr,
}

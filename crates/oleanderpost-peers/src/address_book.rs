//! [`AddressBook`].

use std::net::SocketAddr;

use oleanderpost_types::VmId;

/// Maps peers to the addresses of their link listeners.
pub trait AddressBook: Send + Sync {
    /// Address of the peer's link listener; `None` for an unknown VM.
    fn address(&self, peer: &VmId) -> Option<SocketAddr>;
}

impl AddressBook for std::collections::HashMap<VmId, SocketAddr> {
    fn address(&self, peer: &VmId) -> Option<SocketAddr> {
        self.get(peer).copied()
    }
}

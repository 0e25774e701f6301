//! Node names, which are derived from the addresses of the link listeners.

use std::net::SocketAddr;

use oleanderpost_peers::AddressBook;
use oleanderpost_types::VmId;

use crate::{Error, Result};

/// Name of the node whose link listener is bound to `address`.
///
/// # Errors
///
/// [`Error::Settings`] if the address can't be part of a name.
pub fn node_name(address: SocketAddr) -> Result<VmId> {
    let name = format!("{}_{}", address.ip(), address.port());
    VmId::new(&name).map_err(|e| Error::Settings(vec![e.to_string()]))
}

/// Address book that parses the address of a node from its name.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeNameAddressBook;

impl AddressBook for NodeNameAddressBook {
    fn address(&self, peer: &VmId) -> Option<SocketAddr> {
        let (ip, port) = peer.as_str().rsplit_once('_')?;
        Some(SocketAddr::new(ip.parse().ok()?, port.parse().ok()?))
    }
}

//! Names of nodes made of the addresses of their link listeners.

use std::net::SocketAddr;

use oleanderpost_peers::AddressBook;
use oleanderpost_types::VmId;

use crate::{Error, Result};

/// Name of the node that listens for links at `address`.
///
/// # Errors
///
/// [`Error::Settings`] for an address that can't be part of a name.
pub fn node_name(address: SocketAddr) -> Result<VmId> {
    let name = format!("{}_{}", address.ip(), address.port());
    VmId::new(&name).map_err(|e| Error::Settings(vec![e.to_string()]))
}

/// Finds the address of a node in its name.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeNameAddressBook;

impl AddressBook for NodeNameAddressBook {
    fn address(&self, peer: &VmId) -> Option<SocketAddr> {
        let (ip, port) = peer.as_str().rsplit_once('_')?;
        Some(SocketAddr::new(ip.parse().ok()?, port.parse().ok()?))
    }
}

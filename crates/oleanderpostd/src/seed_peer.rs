//! [`SeedPeer`].

use std::net::SocketAddr;

use oleanderpost::types::VmId;

/// A node from which to get the VM list if the platform does not answer at the start, written as
/// `VM=IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedPeer {
    /// VM of the node.
    pub vm: VmId,
    /// Address of its link listener.
    pub address: SocketAddr,
}

impl std::fmt::Display for SeedPeer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}={}", self.vm, self.address)
    }
}

impl std::str::FromStr for SeedPeer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once('=');
        let (vm, address) = parts.ok_or_else(|| format!("{text:?}: allowed is VM=IP:PORT"))?;
        Ok(Self {
            vm: vm.parse().map_err(|e| format!("{text:?}: {e}"))?,
            address: address.parse().map_err(|e| format!("{text:?}: {e}"))?,
        })
    }
}

//! [`Vm`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, Incarnation, VmId, VmRole, VmState};

/// One VM of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: VmId,
    /// Role of the VM.
    pub role: VmRole,
    /// State of the VM.
    pub state: VmState,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address of the link listener on entry VMs, of the service on upstream VMs.
    pub address: SocketAddr,
    /// Start number of the VM; it increases when the VM is replaced.
    pub incarnation: Incarnation,
}

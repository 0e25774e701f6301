//! [`VmList`].

use serde::{Deserialize, Serialize};

use crate::{Revision, Vm};

/// Response of `GET /v1/vms?after=R&wait_ms=W`: the complete list, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision of the list.
    pub revision: Revision,
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

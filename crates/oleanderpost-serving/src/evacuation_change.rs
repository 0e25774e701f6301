//! [`EvacuationChange`].

use serde::{Deserialize, Serialize};

use crate::DataCentreName;

/// Begin or end of the evacuation of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationChange {
    /// No request may be sent to upstreams in the data centre from now on.
    Begun(DataCentreName),
    /// The data centre has returned to service.
    Ended(DataCentreName),
}

impl EvacuationChange {
    /// The data centre.
    #[must_use]
    pub fn data_centre(&self) -> &DataCentreName {
        match self {
            Self::Begun(name) | Self::Ended(name) => name,
        }
    }
}

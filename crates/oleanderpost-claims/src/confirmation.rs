//! [`Confirmation`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{Incarnation, Revision};

/// A node's confirmation of the VM list that it holds at the time of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Incarnation of the answering process. The revisions that one process confirms never decrease.
    pub incarnation: Incarnation,
    /// Revision of the node's VM list.
    pub revision: Revision,
    /// Greatest number of entry VMs in any list that the process held within
    /// [`Limits::list_size_window`](crate::Limits).
    pub widest: u32,
}

//! [`ListObserver`].

use std::sync::Arc;

use oleanderpost_types::VmList;

/// Receives each VM list that a node applies, in the order of revisions.
///
/// Skipped revisions are not delivered: the revision of the next list is then more than one greater.
pub trait ListObserver: Send + Sync {
    /// Handles one list. It must not block.
    fn observe(&self, list: &Arc<VmList>);
}

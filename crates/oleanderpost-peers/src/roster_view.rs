//! [`RosterView`].

use oleanderpost_types::Revision;
use tokio::time::Instant;

/// Revision and age of a node's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RosterView {
    /// Revision of the list; 0 before the first list.
    pub revision: Revision,
    /// Latest known time at which the platform had no newer list, according to one of its replicas.
    ///
    /// `None` before the first such answer for this list, and after a pause of this process. A replica that
    /// lags behind can confirm an old list; its lag is not included in this time.
    pub as_of: Option<Instant>,
    /// Whether revisions directly before this one were skipped.
    pub skipped: bool,
    /// Time since which no revision was skipped.
    pub unbroken_since: Instant,
}

//! [`ColdUpstream`].

use std::fmt;

use crate::{BootTime, RequestRate, UpstreamId};

/// An upstream process that is cold.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdUpstream {
    /// The upstream.
    pub id: UpstreamId,
    /// Start time of the process, as in [`Upstream::started_at`](crate::Upstream::started_at).
    pub started_at: Option<u64>,
    /// Requests per second that it tolerates from all nodes together.
    pub limit: RequestRate,
    /// End of the cold time.
    pub until: BootTime,
}

impl fmt::Display for ColdUpstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let left_ms = self.until.since(BootTime::now()).as_millis();
        write!(
            f,
            "{}: cold for {left_ms} ms, {} requests/s",
            self.id, self.limit
        )
    }
}

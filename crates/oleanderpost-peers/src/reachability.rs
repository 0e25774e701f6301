//! [`Reachability`].

use tokio::time::Instant;

/// Reachability of a peer as seen by this node's own links; for routing only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// No connection was attempted yet.
    #[default]
    Unknown,
    /// The last attempt to open a connection succeeded, or the peer connected.
    Reachable,
    /// The last attempt to open a connection failed.
    Unreachable {
        /// Time of the first failure.
        since: Instant,
    },
}

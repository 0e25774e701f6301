//! [`Counters`].

use serde::Serialize;

/// Number of events since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Claims that a majority granted.
    pub claims_granted: u64,
    /// Claims refused because another claim holds the key.
    pub claims_taken: u64,
    /// Claims refused because no majority of witnesses granted them.
    pub claims_without_majority: u64,
    /// Claims refused because of the version or time of issue of the key.
    pub claims_with_bad_key: u64,
    /// Keys granted as a witness.
    pub grants: u64,
    /// Claims denied as a witness because another claim holds the key.
    pub denials: u64,
    /// Abstentions as a witness, except those because of a full table.
    pub abstentions: u64,
    /// Abstentions as a witness because the table of keys was full.
    pub table_full: u64,
    /// Keys released as a witness.
    pub releases: u64,
    /// Confirmation requests sent to peers.
    pub confirms_sent: u64,
    /// Confirmations received from peers in time.
    pub confirms_received: u64,
    /// VM lists received after a gap in the revisions.
    pub skipped_revisions: u64,
    /// Times that the wall clock and the monotonic clock diverged.
    pub clock_resets: u64,
}

//! [`RosterCounters`].

/// Counters of a roster since it was built.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RosterCounters {
    /// Reads of the platform's list.
    pub reads: u64,
    /// Reads that failed.
    pub read_failures: u64,
    /// Reads that returned an older list than the one held.
    pub stale_reads: u64,
    /// Lists applied from the platform.
    pub lists_from_platform: u64,
    /// Lists applied from peers.
    pub lists_from_peers: u64,
    /// Applied lists before which revisions were skipped.
    pub skipped: u64,
    /// Exchanges with peers.
    pub exchanges: u64,
    /// Exchanges that failed.
    pub exchange_failures: u64,
    /// Fetches answered with changes.
    pub steps_served: u64,
    /// Fetches answered with the whole list.
    pub wholes_served: u64,
    /// Changes of peers that did not apply to the list held.
    pub misfits: u64,
    /// Leaving marks that were new.
    pub marks: u64,
    /// Peers contacted because another node could no longer reach them, or could reach them again.
    pub contacts_tried: u64,
    /// Pauses of this process.
    pub pauses: u64,
}

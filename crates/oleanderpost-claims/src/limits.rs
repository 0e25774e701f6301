//! [`Limits`].

use std::time::Duration;

/// Limits of the claims protocol. `lookback`, `clock_skew` and `witnesses` must be equal on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of witnesses of a key.
    pub witnesses: usize,
    /// Time from a key's reference time to its issue; must exceed the sum of `confirm_period` and twice
    /// `clock_skew`.
    pub lookback: Duration,
    /// Maximum deviation of a node's clock from the true time. Half of it is the allowance for the system
    /// clock itself; the other half is the drift at which a node resets its clock.
    pub clock_skew: Duration,
    /// Maximum age at which a key may be claimed, counted from its issue.
    pub key_window: Duration,
    /// Maximum duration of a claim; an earlier deadline of the request takes precedence.
    pub claim_timeout: Duration,
    /// Interval between two rounds of confirmations.
    pub confirm_period: Duration,
    /// Time within which a peer must confirm its VM list.
    pub confirm_timeout: Duration,
    /// Time before the reference time within which VMs added to the list raise the quorum of confirmations.
    pub added_vm_window: Duration,
    /// Time for which the greatest size of the VM list determines the quorum of confirmations.
    pub list_size_window: Duration,
    /// Maximum number of keys that a witness keeps.
    pub max_keys: usize,
}

impl Limits {
    /// Maximum time by which a key may be ahead of this node's clock. No witness can grant a key that is
    /// further ahead.
    pub(crate) const fn max_key_ahead(&self) -> Duration {
        self.lookback.saturating_add(self.clock_skew)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            witnesses: 3,
            lookback: Duration::from_secs(10),
            clock_skew: Duration::from_secs(1),
            key_window: Duration::from_secs(600),
            claim_timeout: Duration::from_secs(2),
            confirm_period: Duration::from_secs(3),
            confirm_timeout: Duration::from_secs(1),
            added_vm_window: Duration::from_secs(60),
            list_size_window: Duration::from_secs(7_200),
            max_keys: 200_000,
        }
    }
}

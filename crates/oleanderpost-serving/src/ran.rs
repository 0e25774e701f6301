//! [`Ran`].

/// Whether an upstream ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// Certainly not: nothing was sent, or the upstream says so because it is full.
    No,
    /// Certainly not: another process has the address, or the upstream is leaving.
    Gone,
    /// It may have.
    Maybe,
}

impl Ran {
    /// Whether it may have run.
    #[must_use]
    pub fn maybe(self) -> bool {
        self == Self::Maybe
    }
}

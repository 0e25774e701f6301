//! [`ClaimEnd`].

/// Whether the request of a claim was dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// No byte was written to any upstream; a later request with the same key may run.
    NotRun,
    /// The request was dispatched, whatever its result; the key stays taken.
    Dispatched,
}

//! [`RetryTerms`].

/// Conditions for retrying a request, given by its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTerms {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Maximum number of attempts that may have run the request; unlimited if `None`.
    pub max_attempts: Option<u32>,
}

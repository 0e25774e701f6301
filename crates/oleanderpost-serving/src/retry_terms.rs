//! [`RetryTerms`].

/// What the kind of a request allows when an attempt at it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTerms {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Most upstreams at which it may have run, if that is limited.
    pub max_attempts: Option<u32>,
}

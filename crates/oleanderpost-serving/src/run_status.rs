//! [`RunStatus`].

/// Whether an upstream may have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunStatus {
    /// Certainly not: nothing was sent, or the upstream rejected the request because it is full.
    NotRun,
    /// Certainly not: the address belongs to another process now, or the upstream is shutting down.
    InstanceGone,
    /// The upstream may have run it.
    MayHaveRun,
}

impl RunStatus {
    /// Whether the request may have been run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        self == Self::MayHaveRun
    }
}

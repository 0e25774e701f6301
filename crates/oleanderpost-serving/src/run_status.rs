//! [`RunStatus`].

/// Whether an upstream ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunStatus {
    /// Certainly not: nothing was sent, or the upstream says so because it is full.
    NotRun,
    /// Certainly not: another process has the address, or the upstream is leaving.
    InstanceGone,
    /// It may have.
    MayHaveRun,
}

impl RunStatus {
    /// Whether it may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        self == Self::MayHaveRun
    }
}

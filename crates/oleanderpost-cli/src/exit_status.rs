//! [`ExitStatus`].

use std::process::ExitCode;

/// Exit codes of `oleanderpost`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command was executed and its result is positive.
    Success = 0,
    /// The command was executed and its result is negative.
    Negative = 1,
    /// The arguments, the settings or an input file are not valid.
    Usage = 2,
    /// A process could not be reached or a listener could not be opened.
    Unreachable = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

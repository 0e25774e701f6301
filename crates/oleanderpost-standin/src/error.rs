//! The error type of this crate.

use std::net::SocketAddr;

use oleanderpost_types::{Outcome, Problem};

/// Error of a stand-in.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A listener could not be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Settings are outside their ranges. Lists every violation.
    #[error("settings: {}", .0.join("; "))]
    Settings(Vec<String>),
    /// The stand-in refused a request. Nothing ran, unless the outcome states otherwise.
    #[error("{}: {}", .0.kind, .0.detail)]
    Refused(Problem),
}

impl Error {
    /// Creates a [`Refused`](Self::Refused) error.
    pub(crate) fn refused(kind: &str, status: u16, outcome: Outcome, detail: String) -> Self {
        Self::Refused(Problem {
            kind: kind.to_owned(),
            status,
            detail,
            outcome,
            retry_after_ms: None,
        })
    }
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! The error type of this crate.

use std::{net::SocketAddr, path::PathBuf};

use oleanderpost::{
    dispatch,
    types::{Outcome, Problem, UpstreamId},
};

use crate::SettingFault;

/// Error of the daemon, with the step and the peer where it occurred.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file cannot be read.
    #[error("read settings {path}: {source}")]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings are not valid; contains all faults.
    #[error("settings: {}", join_faults(.0))]
    Settings(Vec<SettingFault>),
    /// An entry node cannot start.
    #[error(transparent)]
    Entry(#[from] oleanderpost_serving::Error),
    /// The runtime cannot be set up.
    #[error("set up the runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// A listener cannot be opened.
    #[error("listen for {listener} on {address}: {source}")]
    Listen {
        /// Users of the listener: callers or operators.
        listener: &'static str,
        /// Address that was to be bound.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A connection could not be opened, so nothing was sent.
    #[error("connect to {peer} at {address}: {detail}")]
    Connect {
        /// Name of the peer.
        peer: String,
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
    /// A peer did not answer in time.
    #[error("{step} at {peer}: no answer in time")]
    Timeout {
        /// Operation that failed.
        step: &'static str,
        /// Name of the peer.
        peer: String,
    },
    /// An exchange with a peer failed after the connection was open.
    #[error("{step} at {peer}: {detail}")]
    Exchange {
        /// Operation that failed.
        step: &'static str,
        /// Name of the peer.
        peer: String,
        /// Cause.
        detail: String,
    },
    /// An upstream refused the request; the problem's outcome states whether it ran.
    #[error("{step}: refused by {peer}: {}", .problem.detail)]
    Refused {
        /// Operation that failed.
        step: &'static str,
        /// Name of the peer.
        peer: String,
        /// The problem that the upstream returned.
        problem: Box<Problem>,
    },
    /// A peer answered with an unexpected status.
    #[error("{step} at {peer}: status {status}")]
    Status {
        /// Operation that failed.
        step: &'static str,
        /// Name of the peer.
        peer: String,
        /// HTTP status code.
        status: u16,
    },
    /// An upstream does not belong to any service of the configuration in force.
    #[error("{step}: upstream {upstream} is not configured")]
    UnknownUpstream {
        /// Operation that failed.
        step: &'static str,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A component cannot be started.
    #[error("start {component}: {detail}")]
    Component {
        /// Name of the component.
        component: &'static str,
        /// Cause.
        detail: String,
    },
    /// The logger cannot be set up.
    #[error("set up logs: {0}")]
    Logs(#[from] spdlog::Error),
}

impl Error {
    /// Converts the error to the error type of resumable streams.
    pub(crate) fn into_dispatch_error(
        self,
        step: &'static str,
        upstream: &UpstreamId,
    ) -> dispatch::Error {
        let upstream = upstream.clone();
        match self {
            Self::Refused { problem, .. } => dispatch::Error::Refused {
                step,
                upstream,
                problem,
            },
            other => dispatch::Error::Exchange {
                step,
                upstream,
                detail: other.to_string(),
            },
        }
    }

    /// Whether the peer certainly did not run the request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Connect { .. } => true,
            Self::Refused { problem, .. } => problem.outcome == Outcome::NotRun,
            _ => false,
        }
    }
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

fn join_faults(faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

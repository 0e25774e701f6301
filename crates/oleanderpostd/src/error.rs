//! The error type of this crate.

use std::{net::SocketAddr, path::PathBuf};

use oleanderpost::{
    dispatch,
    types::{Outcome, Problem, UpstreamId},
};

use crate::SettingFault;

/// A failure of the daemon, with the step and the peer at which it arose.
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
    /// The settings are not valid; every fault is listed.
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
        /// What the listener is for.
        listener: &'static str,
        /// Wanted address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// No connection could be opened, so nothing was sent.
    #[error("connect to {peer} at {address}: {detail}")]
    Connect {
        /// Peer that was called.
        peer: String,
        /// Its address.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
    /// A peer did not answer in time.
    #[error("{step} at {peer}: no answer in time")]
    Timeout {
        /// What was attempted.
        step: &'static str,
        /// Peer that was called.
        peer: String,
    },
    /// An exchange with a peer broke off after it had begun.
    #[error("{step} at {peer}: {detail}")]
    Exchange {
        /// What was attempted.
        step: &'static str,
        /// Peer that was called.
        peer: String,
        /// Cause.
        detail: String,
    },
    /// An upstream refused the request; its outcome tells whether anything ran.
    #[error("{step}: refused by {peer}: {}", .problem.detail)]
    Refused {
        /// What was attempted.
        step: &'static str,
        /// Peer that refused.
        peer: String,
        /// The refusal.
        problem: Box<Problem>,
    },
    /// A peer answered with an unexpected status.
    #[error("{step} at {peer}: status {status}")]
    Status {
        /// What was attempted.
        step: &'static str,
        /// Peer that was called.
        peer: String,
        /// HTTP status code.
        status: u16,
    },
    /// An upstream is in no service of the configuration in force.
    #[error("{step}: upstream {upstream} is not configured")]
    UnknownUpstream {
        /// What was attempted.
        step: &'static str,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A coordination part cannot be started.
    #[error("start {component}: {detail}")]
    Component {
        /// Name of the part.
        component: &'static str,
        /// Cause.
        detail: String,
    },
    /// The logger cannot be set up.
    #[error("set up logs: {0}")]
    Logs(#[from] spdlog::Error),
}

impl Error {
    /// The same failure, as the part that follows streams names it.
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

    /// Whether it is certain that the peer has not run the request.
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

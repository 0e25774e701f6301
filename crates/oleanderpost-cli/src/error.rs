//! The error type of this crate.

use std::{net::SocketAddr, path::PathBuf};

use oleanderpost::config::Findings;

use crate::ExitStatus;

/// Errors of commands that could not be executed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read.
    #[error("read {}: {source}", .path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A settings file is not valid.
    #[error("{}: {detail}", .path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and column.
        detail: String,
    },
    /// A fleet file is not valid.
    #[error("{source_name} is not valid:\n{findings}")]
    FleetFile {
        /// File or address that the file was read from.
        source_name: String,
        /// Errors in the file.
        findings: Findings,
    },
    /// A node of the demo's fleet could not be started.
    #[error("start a node: {0}")]
    Node(#[from] oleanderpostd::Error),
    /// The demo's nodes did not become ready in time. Contains the last status.
    #[error("the nodes did not become ready in time; the last status was\n{0}")]
    NotReady(String),
    /// A process could not be reached.
    #[error("{peer}{path}: {detail}")]
    Unreachable {
        /// Its address.
        peer: SocketAddr,
        /// Path of the request.
        path: String,
        /// Cause.
        detail: String,
    },
    /// A process responded with an error status or an unexpected body.
    #[error("{peer}{path}: {detail}")]
    BadResponse {
        /// Its address.
        peer: SocketAddr,
        /// Path of the request.
        path: String,
        /// The response, or what is wrong with it.
        detail: String,
    },
    /// A stand-in could not be started.
    #[error(transparent)]
    StandIn(#[from] oleanderpost_standin::Error),
    /// Writing to standard output failed.
    #[error("write: {0}")]
    Write(#[from] std::io::Error),
}

/// Result alias of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Exit code for this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ReadFile { .. } | Self::Settings { .. } | Self::FleetFile { .. } => {
                ExitStatus::Usage
            }
            Self::StandIn(oleanderpost_standin::Error::Settings(_)) => ExitStatus::Usage,
            _ => ExitStatus::Unreachable,
        }
    }
}

//! [`Error`].

use std::{net::SocketAddr, path::PathBuf};

/// Error while an entry node starts.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file can't be read.
    #[error("read settings {path}: {source}")]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings are invalid; one message per fault.
    #[error("settings: {}", .0.join("; "))]
    Settings(Vec<String>),
    /// An address can't be bound.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The links to other nodes can't be opened.
    #[error("open links: {0}")]
    Links(#[from] oleanderpost_peers::Error),
}

/// Result with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

//! [`Error`].

use std::{net::SocketAddr, path::PathBuf};

/// What goes wrong when an entry node starts.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The settings file can't be read.
    #[error("read settings {path}: {source}")]
    ReadSettings {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings have faults.
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

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

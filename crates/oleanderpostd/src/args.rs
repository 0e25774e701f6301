//! [`Args`].

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::{Result, Settings, SettingsFile};

/// The oleanderpost daemon of an entry VM.
///
/// Flags and environment variables override the settings file.
///
/// Exit codes: 0 after a graceful stop, 1 on a failure, 2 on invalid arguments.
#[derive(Clone, Debug, Parser)]
#[command(name = "oleanderpostd", version)]
pub struct Args {
    /// Path of the settings file, in YAML.
    #[arg(long, short, env = "OLEANDERPOST_CONFIG")]
    pub config: Option<PathBuf>,
    /// Check the settings, print all faults and exit.
    #[arg(long)]
    pub check: bool,
    /// Settings that override the file.
    #[command(flatten)]
    pub settings: SettingsFile,
    /// Interface to serve instead of the daemon's own HTTP interface.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Interfaces that the daemon can serve instead of its own HTTP interface.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Serve as an entry node on the users' platform.
    Entry(oleanderpost_platform::Args),
}

impl Args {
    /// Reads the settings file, applies the flags over it and validates the result.
    ///
    /// # Errors
    ///
    /// [`Error::ReadSettings`](crate::Error::ReadSettings) when the file cannot be read,
    /// [`Error::Settings`](crate::Error::Settings) with all faults.
    pub fn settings(&self) -> Result<Settings> {
        let file = match &self.config {
            Some(path) => SettingsFile::read(path)?,
            None => SettingsFile::default(),
        };
        Settings::from_file(&self.settings.clone().with_fallback(file))
    }
}

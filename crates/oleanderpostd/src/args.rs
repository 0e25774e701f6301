//! [`Args`].

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::{Result, Settings, SettingsFile};

/// The oleanderpost daemon of an entry VM.
///
/// Flags and environment variables go before the settings file.
///
/// Exit codes: 0 after a graceful stop, 1 on a failure, 2 on wrong arguments.
#[derive(Clone, Debug, Parser)]
#[command(name = "oleanderpostd", version)]
pub struct Args {
    /// Settings file in YAML.
    #[arg(long, short, env = "OLEANDERPOST_CONFIG")]
    pub config: Option<PathBuf>,
    /// Check the settings, print every fault and stop.
    #[arg(long)]
    pub check: bool,
    /// Settings that go before the file.
    #[command(flatten)]
    pub settings: SettingsFile,
    /// What to run instead of the daemon with its own interface.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Other ways to run.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Serve as an entry node on the users' platform.
    Entry(oleanderpost_platform::Args),
}

impl Args {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// [`Error::ReadSettings`](crate::Error::ReadSettings) when the file cannot be read,
    /// [`Error::Settings`](crate::Error::Settings) with every fault at once.
    pub fn settings(&self) -> Result<Settings> {
        let file = match &self.config {
            Some(path) => SettingsFile::read(path)?,
            None => SettingsFile::default(),
        };
        Settings::from_file(&self.settings.clone().with_fallback(file))
    }
}

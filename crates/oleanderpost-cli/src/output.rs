//! [`Output`].

use std::{
    fmt::Display,
    io::{Write, stdout},
};

use serde::Serialize;

use crate::Result;

/// Format of a command's result on standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// Text for people.
    Text,
    /// JSON for scripts.
    Json,
}

impl Output {
    /// Writes a result to standard output.
    pub(crate) fn write<T: Display + Serialize>(self, value: &T) -> Result<()> {
        let mut out = stdout().lock();
        match self {
            Self::Text => write!(out, "{value}")?,
            Self::Json => writeln!(out, "{}", serde_json::json!(value))?,
        }
        Ok(())
    }
}

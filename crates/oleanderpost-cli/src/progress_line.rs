//! [`ProgressLine`].

use std::{
    io::{IsTerminal, Write, stderr},
    time::Duration,
};

/// A line on the terminal that is overwritten; nothing where there is no terminal.
#[derive(Debug)]
pub(crate) struct ProgressLine {
    is_terminal: bool,
}

impl ProgressLine {
    /// Time between two updates.
    pub(crate) const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

    pub(crate) fn new() -> Self {
        let is_terminal = stderr().is_terminal();
        Self { is_terminal }
    }

    /// Replaces the line.
    pub(crate) fn show(&self, text: &str) {
        if self.is_terminal {
            // Progress is only a courtesy: a terminal that went away is no reason to stop.
            let _ = write!(stderr(), "\r\x1b[2K{text}");
        }
    }

    /// Removes the line.
    pub(crate) fn close(self) {
        self.show("");
    }
}

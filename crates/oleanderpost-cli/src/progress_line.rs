//! [`ProgressLine`].

use std::{
    io::{IsTerminal, Write, stderr},
    time::Duration,
};

/// A progress line on standard error that is overwritten in place. Prints nothing if standard error is
/// not a terminal.
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

    /// Replaces the text of the line.
    pub(crate) fn show(&self, text: &str) {
        if self.is_terminal {
            // A failed write, such as to a closed terminal, must not abort the command.
            let _ = write!(stderr(), "\r\x1b[2K{text}");
        }
    }

    /// Removes the line.
    pub(crate) fn close(self) {
        self.show("");
    }
}

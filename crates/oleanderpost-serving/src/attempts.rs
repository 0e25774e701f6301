//! [`Attempts`].

use crate::{AttemptError, RunStatus};

/// Counts of the failed attempts at a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts after which the request may have run.
    pub may_have_run: u32,
    /// Attempts that certainly did not run the request.
    pub not_run: u32,
    /// Whether an upstream may have received the request. If not, another attempt is no retry for the upstreams.
    pub may_have_arrived: bool,
}

impl Attempts {
    /// Counts a failed attempt whose request an upstream may have received.
    pub fn note_failure(&mut self, ran: RunStatus) {
        self.may_have_arrived = true;
        self.count(ran);
    }

    /// Counts the failed attempt that ended with `e`.
    pub fn note_error(&mut self, e: &AttemptError) {
        self.may_have_arrived |= e.may_have_arrived();
        self.count(e.ran);
    }

    fn count(&mut self, ran: RunStatus) {
        if ran.may_have_run() {
            self.may_have_run += 1;
        } else {
            self.not_run += 1;
        }
    }
}

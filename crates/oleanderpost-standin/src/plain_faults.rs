//! [`PlainFaults`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::Millis;

/// Faults to inject into a plain service (`PUT /v1/faults`). The body replaces all current faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Number of upcoming calls that are run but not answered. After each of them, all open connections are
    /// reset.
    pub lose_answers: u32,
    /// Time that each call takes.
    pub slow_ms: Millis,
    /// Resets all open and new connections, so that nothing runs.
    pub down: bool,
    /// Silences the currently open connections, once: they stay open, but no data passes.
    /// New connections work.
    pub silence_open: bool,
}

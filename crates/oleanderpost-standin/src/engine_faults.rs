//! [`EngineFaults`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::Millis;

/// Faults to inject into an engine (`PUT /v1/faults`). The body replaces all current faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Resets all open and new connections, so that nothing is answered, and loses all streams, reservations and
    /// caches.
    pub dead: bool,
    /// Freezes the engine for this long, counted from the call; it then continues.
    pub freeze_ms: Option<Millis>,
    /// Silences the currently open connections, once: they stay open, but no data passes.
    /// New connections work.
    pub silence_open: bool,
    /// Additional delay of load reports.
    pub report_late_ms: Millis,
    /// Accepts orders with an outdated fencing number.
    pub ignore_fencing: bool,
    /// Answers cancel requests without cancelling the stream.
    pub lose_cancels: bool,
}

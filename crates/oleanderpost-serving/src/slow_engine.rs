//! [`SlowEngine`].

use serde::{Deserialize, Serialize};

use crate::{SignalVersion, UpstreamId};

/// Measured speed of an engine process, as one node tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowEngine {
    /// The engine.
    pub upstream: UpstreamId,
    /// Start time of the process that was measured, as in [`Upstream::started_at`](crate::Upstream::started_at).
    #[serde(default)]
    pub started_at: Option<u64>,
    /// Factor by which it is slower than comparable engines; 1 if it is no longer slow.
    pub factor: f64,
    /// Time since the measurement, in milliseconds.
    pub age_ms: f64,
}

/// Changes in the measured speeds of engines since a version that the receiver has seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowEngineChanges {
    /// Version that the changes lead to.
    pub version: SignalVersion,
    /// Engines whose speeds have changed.
    pub engines: Vec<SlowEngine>,
}

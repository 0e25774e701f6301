//! [`Run`], [`RunEnd`] and [`EngineEvidence`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{
    Attempt, Holding, Millis, Order, Outcome, Problem, RequestKey, Tokens, VmId,
};

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The answer is complete.
    Finished,
    /// The run was cancelled.
    Cancelled,
    /// The stream had no reader for the length of the resume window.
    Abandoned,
    /// The time limit passed.
    TimedOut,
    /// The engine died.
    Died,
}

impl RunEnd {
    /// Returns the problem sent to readers; `None` if the answer is complete or the engine died.
    pub(crate) fn problem(self) -> Option<Problem> {
        let (kind, status, detail) = match self {
            Self::Finished | Self::Died => return None,
            Self::Cancelled => ("cancelled", 409, "the stream was cancelled"),
            Self::Abandoned => (
                "abandoned",
                410,
                "nobody read the stream in the resume window",
            ),
            Self::TimedOut => ("time-limit", 504, "the time limit passed"),
        };
        Some(Problem {
            kind: kind.to_owned(),
            status,
            detail: detail.to_owned(),
            outcome: Outcome::Failed,
            retry_after_ms: None,
        })
    }
}

/// One run of a request on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Key of the request.
    pub key: RequestKey,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// VM that sent the request.
    pub holder: Option<VmId>,
    /// Arrival time, since the start of the engine.
    pub arrived: Millis,
    /// Admission to the batch, since the start of the engine.
    pub started: Option<Millis>,
    /// End, since the start of the engine.
    pub ended: Option<Millis>,
    /// Why the run ended.
    pub end: Option<RunEnd>,
    /// Number of prompt tokens.
    pub prompt: Tokens,
    /// Number of generated tokens.
    pub generated: u64,
    /// Memory that the run needs on this engine.
    pub memory: Tokens,
}

/// Runs, holdings and orders of an engine (`GET /v1/evidence`), for checks in tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineEvidence {
    /// All runs of all keys, in order of arrival.
    pub runs: Vec<Run>,
    /// Memory currently held.
    pub held: Tokens,
    /// Current holdings of memory.
    pub holdings: Vec<Holding>,
    /// Applied orders, oldest first.
    pub orders: Vec<Order>,
}

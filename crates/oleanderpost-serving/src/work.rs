//! [`Work`].

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, UpstreamId};

/// Identifier of one placement: the node's start and a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkId(pub u64, pub u64);

impl std::fmt::Display for WorkId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}-{}", self.0, self.1)
    }
}

/// What a model engine is to do for one request. Times in milliseconds from the question on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Identifier.
    pub id: WorkId,
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens of the answer, as far as can be foreseen.
    pub answer: f64,
    /// Most tokens of the answer.
    pub answer_limit: f64,
    /// Time left for the first event to be on time; negative once it has passed.
    pub objective_ms: f64,
    /// Longest pause between events that the caller expects.
    pub pause_ms: f64,
    /// Time left until the caller or the route gives up.
    pub deadline_ms: f64,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Data centre of the node that asks.
    pub data_centre: DataCentreName,
    /// Upstreams that have failed the request.
    pub excluded: Vec<UpstreamId>,
}

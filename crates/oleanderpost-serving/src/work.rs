//! [`Work`].

use serde::{Deserialize, Serialize};

use crate::{DataCentreName, PartId, UpstreamId};

/// Identifier of a placement: the identifier of the node's start and a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkId(pub u64, pub u64);

impl std::fmt::Display for WorkId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}-{}", self.0, self.1)
    }
}

/// A request to a model engine, as seen by the scheduler. Times in milliseconds, counted from its
/// submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Identifier of the placement.
    pub id: WorkId,
    /// Number of tokens in the prompt.
    pub prompt: f64,
    /// Expected number of tokens in the answer.
    pub answer: f64,
    /// Maximum number of tokens in the answer.
    pub answer_limit: f64,
    /// Time left until the objective for the first event; negative once it has passed.
    pub objective_ms: f64,
    /// Longest pause between events that the caller tolerates.
    pub pause_ms: f64,
    /// Time left until the deadline of the caller or the route.
    pub deadline_ms: f64,
    /// Time left until the caller gives up without a first event; `None` if only the deadline limits it.
    #[serde(default)]
    pub patience_ms: Option<f64>,
    /// Time left until the node that submits the request stops; `None` if it does not drain.
    #[serde(default)]
    pub node_stops_ms: Option<f64>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Data centre of the node that submits the request.
    pub data_centre: DataCentreName,
    /// Upstreams to avoid, because they failed the request or had no memory for it.
    pub excluded: Vec<UpstreamId>,
    /// Parts of the prompt in order.
    #[serde(default)]
    pub parts: Vec<PartId>,
}

impl Work {
    /// Whether all numbers are in the range that requests can have. Those of another node may be anything.
    pub(crate) fn is_valid(&self) -> bool {
        let counts = [self.prompt, self.answer, self.answer_limit, self.pause_ms];
        let is_count = |value: f64| value.is_finite() && value >= 0.0;
        let times = [self.objective_ms, self.deadline_ms];
        counts.into_iter().all(is_count)
            && times.into_iter().all(f64::is_finite)
            && self.patience_ms.is_none_or(f64::is_finite)
            && self.node_stops_ms.is_none_or(f64::is_finite)
    }

    /// Time left for the whole answer: until the deadline, or until its node stops.
    pub(crate) fn time_limit_ms(&self) -> f64 {
        let node_stops_ms = self.node_stops_ms.unwrap_or(f64::INFINITY);
        node_stops_ms.min(self.deadline_ms)
    }

    /// Time left for the first event: it is of no use after the time limit, or when the caller has given up.
    pub(crate) fn first_event_limit_ms(&self) -> f64 {
        let patience_ms = self.patience_ms.unwrap_or(f64::INFINITY);
        patience_ms.min(self.time_limit_ms())
    }

    /// The request as a node that does not stop would submit it.
    pub(crate) fn at_lasting_node(&self) -> Self {
        Self {
            node_stops_ms: None,
            ..self.clone()
        }
    }

    /// The request after `elapsed_ms` of waiting.
    pub(crate) fn after(&self, elapsed_ms: f64) -> Self {
        Self {
            objective_ms: self.objective_ms - elapsed_ms,
            deadline_ms: self.deadline_ms - elapsed_ms,
            patience_ms: self.patience_ms.map(|patience_ms| patience_ms - elapsed_ms),
            node_stops_ms: self.node_stops_ms.map(|stops_ms| stops_ms - elapsed_ms),
            ..self.clone()
        }
    }

    /// Longest wait for the limits of engines, in milliseconds, if the first event then takes `first_event_ms`. The wait is
    /// known, so a request that would be late is rejected with a time to come back; a stream that is resumed may wait
    /// for one pause.
    pub(crate) fn max_limit_wait_ms(&self, first_event_ms: f64) -> f64 {
        (self.objective_ms - first_event_ms).max(self.pause_ms)
    }
}

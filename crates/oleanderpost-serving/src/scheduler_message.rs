//! [`SchedulerMessage`].

use oleanderpost_peers::MessageKind;
use serde::{Deserialize, Serialize};

use crate::{Decision, PeerEvidence, PeerState, ServiceName, UpstreamId, Work, WorkEnd, WorkId};

/// A placement as its node knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldWork {
    /// Service.
    pub service: ServiceName,
    /// What was asked for.
    pub work: Work,
    /// Engine that has it.
    pub engine: UpstreamId,
    /// Whether its first event has come.
    pub started: bool,
}

/// What nodes and the scheduler tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SchedulerMessage {
    /// A node asks for an engine.
    #[serde(rename = "Ask")]
    Submit {
        /// Service.
        service: ServiceName,
        /// What is to be done.
        work: Work,
    },
    /// Answer to a question, or the decision about a request that waited.
    Decided {
        /// The request.
        id: WorkId,
        /// What becomes of it.
        decision: Decision,
    },
    /// This node does not schedule now.
    NotServing,
    /// The first event of a request came.
    FirstEvent {
        /// Service.
        service: ServiceName,
        /// The request.
        id: WorkId,
    },
    /// A request ended, or no longer waits.
    Ended {
        /// Service.
        service: ServiceName,
        /// The request.
        id: WorkId,
        /// How it ended.
        end: WorkEnd,
    },
    /// A node names all its requests, and so says that it lives.
    #[serde(rename = "Attend")]
    Heartbeat {
        /// Requests that wait or are placed.
        ids: Vec<WorkId>,
    },
    /// Answer to [`Heartbeat`](Self::Heartbeat).
    #[serde(rename = "Attended")]
    HeartbeatReply {
        /// Placements that the scheduler does not know.
        unknown: Vec<WorkId>,
        /// Nodes that attend, this one included.
        nodes: usize,
        /// How current the answering node's knowledge is.
        #[serde(default)]
        evidence: Option<PeerEvidence>,
    },
    /// Placements that the scheduler did not know.
    Adopt {
        /// The placements.
        held: Vec<HeldWork>,
    },
    /// A node that the store does not answer asks for all that another one knows.
    AskState,
    /// Answer to [`AskState`](Self::AskState).
    State {
        /// What the node knows; `None` without a configuration.
        state: Option<Box<PeerState>>,
    },
}

impl MessageKind for SchedulerMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "ask",
            Self::Decided { .. } => "decided",
            Self::NotServing => "not_serving",
            Self::FirstEvent { .. } => "first_event",
            Self::Ended { .. } => "ended",
            Self::Heartbeat { .. } => "attend",
            Self::HeartbeatReply { .. } => "attended",
            Self::Adopt { .. } => "adopt",
            Self::AskState => "ask_state",
            Self::State { .. } => "state",
        }
    }
}

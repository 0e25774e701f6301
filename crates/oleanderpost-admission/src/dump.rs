//! [`Dump`].

use oleanderpost_types::{Millis, Tokens, UpstreamId, VmId};
use serde::Serialize;

use crate::{Counts, EngineSummary};

/// Admission state of one node, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Dump {
    /// Counters since start.
    pub counts: Counts,
    /// Number of permits that this node holds.
    pub permits: usize,
    /// Number of requests of this node that await an owner's decision.
    pub waiting: usize,
    /// Engines that this node owns.
    pub engines: Vec<EngineDump>,
    /// Last summary received for each engine.
    pub hints: Vec<EngineSummary>,
    /// Number of engines reserved for short and medium prompts.
    pub short_engines: usize,
}

/// State of an engine owned by the node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineDump {
    /// The engine.
    pub upstream: UpstreamId,
    /// Total memory.
    pub memory: Tokens,
    /// Memory held by permits.
    pub held: Tokens,
    /// Time until the takeover of the engine is complete; zero once it is.
    pub adopting: Millis,
    /// Number of ledger entries.
    pub permits: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Nodes that hold permits.
    pub holders: Vec<VmId>,
}

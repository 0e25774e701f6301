//! [`SchedulerMessage`].

use std::net::SocketAddr;

use oleanderpost_peers::MessageKind;
use serde::{Deserialize, Serialize};

use crate::{
    Decision, PeerChanges, PeerEvidence, PeerState, Quarantine, RequestCrash, RequestFingerprint,
    RequestQuarantine, RequestVerdicts, ServiceName, SignalVersion, SlowEngine, SlowEngineChanges,
    UpstreamId, UpstreamSignal, Work, WorkEnd, WorkId,
};

/// A placement as recorded by its node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldWork {
    /// Service of the request.
    pub service: ServiceName,
    /// The request as submitted to the scheduler.
    pub work: Work,
    /// Engine that serves the request.
    pub engine: UpstreamId,
    /// Whether the first event has arrived.
    pub started: bool,
}

/// Messages between nodes and the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SchedulerMessage {
    /// Submits a request for placement.
    #[serde(rename = "Ask")]
    Submit {
        /// Service of the request.
        service: ServiceName,
        /// The request.
        work: Work,
    },
    /// Reply to [`Submit`](Self::Submit), or a later decision about a waiting request.
    Decided {
        /// Identifier of the request.
        id: WorkId,
        /// The decision.
        decision: Decision,
    },
    /// The sender does not schedule for other nodes at present, or does not know the service.
    NotServing,
    /// The first event of a request has arrived.
    FirstEvent {
        /// Service of the request.
        service: ServiceName,
        /// Identifier of the request.
        id: WorkId,
    },
    /// A request has ended or is no longer waiting.
    Ended {
        /// Service of the request.
        service: ServiceName,
        /// Identifier of the request.
        id: WorkId,
        /// How it ended.
        end: WorkEnd,
    },
    /// Reports that the node is alive, with all its requests.
    #[serde(rename = "Attend")]
    Heartbeat {
        /// Requests that are waiting or placed.
        ids: Vec<WorkId>,
        /// Signals of upstreams that the sender has received from the receiver.
        #[serde(default)]
        seen: SignalVersion,
        /// Signals that the sender has learned itself, again in case an earlier message was lost.
        #[serde(default)]
        signals: Vec<UpstreamSignal>,
        /// Parts of prompts that crash engines, for a scheduler that does not know them yet.
        #[serde(default)]
        quarantines: Vec<Quarantine>,
        /// Requests that crash upstreams, for a scheduler that does not know them yet.
        #[serde(default)]
        request_quarantines: Vec<RequestQuarantine>,
        /// Recent crashes that the sender has seen itself, for a scheduler that takes over.
        #[serde(default)]
        request_crashes: Vec<RequestCrash>,
        /// Slow engines, for a scheduler that does not know them yet.
        #[serde(default)]
        slow_engines: Vec<SlowEngine>,
        /// Changes of the speeds of engines that the sender has received from the receiver.
        #[serde(default)]
        slow_engines_seen: SignalVersion,
        /// Address for requests that peers relay; `None` if the sender accepts none.
        #[serde(default)]
        relay_address: Option<SocketAddr>,
        /// Time in milliseconds for which the sender has used the receiver's scheduler, and no other one.
        #[serde(default)]
        used_ms: f64,
        /// Requests of callers since the last report, for the retry pools.
        #[serde(default)]
        requests: Vec<(ServiceName, u64)>,
    },
    /// Reply to [`Heartbeat`](Self::Heartbeat).
    #[serde(rename = "Attended")]
    HeartbeatReply {
        /// Requests in the heartbeat that the scheduler does not know.
        unknown: Vec<WorkId>,
        /// Number of nodes that send heartbeats, including the receiver of this reply.
        nodes: usize,
        /// How current the sender's configuration and directory are.
        #[serde(default)]
        evidence: Option<PeerEvidence>,
        /// Signals of upstreams that the receiver of this reply has not seen.
        #[serde(default)]
        signals: Vec<UpstreamSignal>,
        /// Version that these signals lead to.
        #[serde(default)]
        version: SignalVersion,
        /// All parts of prompts that crash engines.
        #[serde(default)]
        quarantines: Vec<Quarantine>,
        /// Requests that crash upstreams, or may do so.
        #[serde(default)]
        verdicts: RequestVerdicts,
        /// Changes of the speeds of engines that the receiver of this reply has not seen; `None` if there are none.
        #[serde(default)]
        slow_engines: Option<SlowEngineChanges>,
        /// Addresses of some peers that accept relayed requests.
        #[serde(default)]
        relays: Vec<SocketAddr>,
        /// Whether the sender grants retries; a scheduler of an earlier version does not.
        #[serde(default)]
        grants_retries: bool,
    },
    /// Reports upstreams that crashed while they had a request.
    RequestCrashes {
        /// The crashes.
        crashes: Vec<RequestCrash>,
    },
    /// Reply to [`RequestCrashes`](Self::RequestCrashes), or news from the scheduler's node.
    RequestVerdicts {
        /// Requests that crash upstreams, or may do so.
        verdicts: RequestVerdicts,
    },
    /// Complete responses to suspect requests have arrived.
    SoundRequests {
        /// The requests.
        requests: Vec<RequestFingerprint>,
    },
    /// Signals of upstreams that the sender has learned from their responses.
    Signals {
        /// The signals.
        signals: Vec<UpstreamSignal>,
    },
    /// Requests the permission to send one request to an upstream that limits them.
    AskPermit {
        /// The upstream.
        upstream: UpstreamId,
        /// Longest time that the request can wait, in milliseconds.
        max_wait_ms: f64,
    },
    /// Reply to [`AskPermit`](Self::AskPermit).
    Permit {
        /// Whether the request may be sent after `wait_ms`. If not, a retry makes sense then.
        granted: bool,
        /// Time in milliseconds.
        wait_ms: f64,
        /// Whether the sender knows a limit of the upstream and keeps to it.
        #[serde(default)]
        limited: bool,
    },
    /// Asks whether a request to the service may be retried; an upstream may have received it before.
    AskRetry {
        /// The service.
        service: ServiceName,
        /// Requests of the sender's callers to the service since the last report.
        requests: u64,
    },
    /// Reply to [`AskRetry`](Self::AskRetry).
    Retry {
        /// Whether the retry budget of the fleet allows it.
        allowed: bool,
    },
    /// Placements that the scheduler did not know.
    Adopt {
        /// The placements.
        held: Vec<HeldWork>,
    },
    /// Requests the changes since a position from the peer that the sender follows.
    AskChanges {
        /// Revision up to which the sender has applied changes.
        after: u64,
        /// Era of that revision.
        #[serde(default)]
        era: u64,
        /// Version of the sender's configuration; `None` if it can't apply differences between configurations.
        #[serde(default)]
        config_version: Option<u64>,
    },
    /// Reply to [`AskChanges`](Self::AskChanges).
    Changes {
        /// The changes; `None` if the peer does not have all of them.
        changes: Option<Box<PeerChanges>>,
    },
    /// Requests a peer's full state, because the store does not respond.
    AskState,
    /// Reply to [`AskState`](Self::AskState).
    State {
        /// The state; `None` if the peer has no configuration.
        state: Option<Box<PeerState>>,
    },
}

impl SchedulerMessage {
    /// Adds verdicts to a reply to a heartbeat.
    pub(crate) fn with_verdicts(mut self, new: RequestVerdicts) -> Self {
        if let Self::HeartbeatReply { verdicts, .. } = &mut self {
            *verdicts = new;
        }
        self
    }
}

impl SchedulerMessage {
    /// Adds changes of the speeds of engines to a reply to a heartbeat.
    pub(crate) fn with_slow_engines(mut self, new: Option<SlowEngineChanges>) -> Self {
        if let Self::HeartbeatReply { slow_engines, .. } = &mut self {
            *slow_engines = new;
        }
        self
    }
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
            Self::RequestCrashes { .. } => "request_crashes",
            Self::RequestVerdicts { .. } => "request_verdicts",
            Self::SoundRequests { .. } => "sound_requests",
            Self::Signals { .. } => "signals",
            Self::AskPermit { .. } => "ask_permit",
            Self::Permit { .. } => "permit",
            Self::AskRetry { .. } => "ask_retry",
            Self::Retry { .. } => "retry",
            Self::Adopt { .. } => "adopt",
            Self::AskChanges { .. } => "ask_changes",
            Self::Changes { .. } => "changes",
            Self::AskState => "ask_state",
            Self::State { .. } => "state",
        }
    }
}

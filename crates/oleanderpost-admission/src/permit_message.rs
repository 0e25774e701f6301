//! [`PermitMessage`] and the types it contains.

use oleanderpost_types::{
    AccountName, Attempt, Millis, RequestKey, ServiceName, Tokens, UpstreamId, VmId,
};
use serde::{Deserialize, Serialize};

use crate::{Band, Completion, Fingerprint, FirstTokenModel, PrefillBacklog, Reason};

/// Messages between nodes about admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum PermitMessage {
    /// To an owner: requests a permit. Repeating the message returns the current state of the request.
    Ask(PermitRequest),
    /// The permit is granted. Also sent by the owner when it grants a queued request later.
    Granted(Grant),
    /// The request is in the owner's queue.
    Queued(Quote),
    /// The cost exceeds the alternative stated in the request, so the owner did not queue it.
    Quoted(Quote),
    /// The request cannot be admitted.
    Refused(OwnerRefusal),
    /// To an owner: events of permits, and renewals of permits in use.
    Report(PermitReport),
    /// To an owner: requests summaries of its engines.
    Summaries,
    /// Reply to `Report` and `Summaries`.
    Reported(Vec<EngineSummary>),
    /// To the node that coordinates the service's groups: requests a group of engines.
    AskGroup(GroupRequest),
    /// All engines of the group are reserved; lists the demand on each of them.
    GroupGranted(Vec<Demand>),
    /// To the node responsible for an account's rate limit: requests a share of it.
    Lease(LeaseRequest),
    /// Reply to `Lease`.
    Leased(LeaseGrant),
    /// To a node: asks whether it uses or waits for this permit.
    Uses(PermitKey),
    /// To any node: asks whether it can reach the given node.
    Reaches(VmId),
    /// Yes-or-no reply; also tells the owner whether the holder still wanted a decision.
    Is(bool),
    /// Empty reply; for `AskGroup`, the group is not complete yet.
    Done,
}

/// Identifies a permit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitKey {
    /// Engine to which it applies.
    pub upstream: UpstreamId,
    /// Request that uses the permit.
    pub key: RequestKey,
    /// Attempt at the request.
    pub attempt: Attempt,
}

/// Resources that a permit covers, and for whom.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Key of the permit.
    pub permit: PermitKey,
    /// Node that holds the permit.
    pub holder: VmId,
    /// Client account.
    pub account: AccountName,
    /// Weight of the account in fair sharing.
    pub share: u32,
    /// Band of the whole prompt.
    pub band: Band,
    /// Length of the prompt, or of the part on this engine if it is a group.
    pub prompt: Tokens,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Time left until the request's deadline.
    pub remaining: Millis,
}

impl Demand {
    /// Maximum memory that the request may use.
    #[must_use]
    pub const fn memory(&self) -> Tokens {
        self.prompt.saturating_add(self.max_tokens)
    }
}

/// Request to an owner for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Resources needed.
    pub demand: Demand,
    /// Fingerprints of the prompt's prefixes, shortest first.
    pub prefix: Vec<Fingerprint>,
    /// Estimated cost on the next best engine, if there is one: time to first token plus the delay to others.
    pub alternative: Option<Millis>,
}

/// A granted permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Key of the permit.
    pub permit: PermitKey,
    /// Band that determines the request's priority at the engine.
    pub rank: Band,
    /// Estimated number of prompt tokens in the engine's cache.
    pub cached: Tokens,
    /// State of the engine after the grant.
    pub summary: EngineSummary,
}

/// Estimate for a request that was queued or not accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quote {
    /// Estimated time to the first token.
    pub first_token: Millis,
    /// Current state of the engine.
    pub summary: EngineSummary,
}

/// Refusal by an owner or by a group coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerRefusal {
    /// Permit that was refused.
    pub permit: PermitKey,
    /// Why it was refused.
    pub reason: Reason,
    /// Delay after which to retry; `None` if a retry would not help.
    pub retry_after: Option<Millis>,
    /// Current state of the engine.
    pub summary: Option<EngineSummary>,
}

/// State of an engine according to its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSummary {
    /// Engine to which it applies.
    pub upstream: UpstreamId,
    /// Memory that no ledger entry holds.
    pub free: Tokens,
    /// Prefill work ahead of a new short, medium and long prompt.
    pub ahead: [PrefillBacklog; 3],
    /// Number of long prefills, running and queued.
    pub longs: u32,
    /// Estimated time until half of the memory is free, and until nearly all of it is free.
    pub memory_wait: [Millis; 2],
    /// Duration of an engine step.
    pub step: Millis,
    /// Learned model of the time to first token.
    pub model: FirstTokenModel,
}

/// Events and renewals of permits, sent by an entry node to an owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PermitReport {
    /// Events since the last report.
    pub notices: Vec<PermitNotice>,
    /// All permits that the node uses on the owner's engines, or empty if no renewal is due.
    pub renewed: Vec<PermitRenewal>,
}

/// Event of one permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitNotice {
    /// Key of the permit.
    pub permit: PermitKey,
    /// What happened.
    pub news: PermitEvent,
}

/// Event in the life of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitEvent {
    /// The first token arrived.
    FirstToken {
        /// Time since the permit was registered at the entry node.
        after: Millis,
    },
    /// The permit was closed.
    Closed {
        /// How it ended.
        completion: Completion,
        /// Time from the first token to the close; zero without a first token.
        decoding: Millis,
    },
}

/// Renewal of a permit, with enough detail for a new owner to add it to its ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRenewal {
    /// Resources that the permit covers.
    pub demand: Demand,
    /// Whether the first token has arrived.
    pub decoding: bool,
}

/// Request for a group of engines for a prompt that does not fit on one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRequest {
    /// Service that the request addresses.
    pub service: ServiceName,
    /// Total demand; the upstream in its permit key is any engine of the service.
    pub demand: Demand,
    /// Engines to avoid because earlier attempts failed there.
    pub excluded: Vec<UpstreamId>,
}

/// Request for a share of an account's rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Service whose account list contains the account.
    pub service: ServiceName,
    /// Account whose limit is shared.
    pub account: AccountName,
    /// Number of requests wanted.
    pub requests: u32,
    /// Number of tokens wanted.
    pub tokens: Tokens,
    /// Tokens of the request that triggered the lease.
    pub need: Tokens,
}

/// Share of an account's rate limit that expires after a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Number of requests granted.
    pub requests: u32,
    /// Number of tokens granted.
    pub tokens: Tokens,
    /// Time until the limit allows another request; zero if the lease was granted.
    pub retry_after: Millis,
}

//! [`PermitMessage`] and its parts.

use oleanderpost_types::{
    AccountName, Attempt, Millis, RequestKey, ServiceName, Tokens, UpstreamId, VmId,
};
use serde::{Deserialize, Serialize};

use crate::{Band, Completion, Fingerprint, FirstTokenModel, PrefillBacklog, Reason};

/// What nodes say to each other about admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum PermitMessage {
    /// To an owner: a permit, please. The same question again gets the present answer.
    Ask(PermitRequest),
    /// The permit is given; also sent by the owner when a queued request's turn comes.
    Granted(Grant),
    /// The request waits at the owner.
    Queued(Quote),
    /// The request would wait longer than the alternative that it named; it does not wait here.
    Quoted(Quote),
    /// The request can't be admitted.
    Refused(OwnerRefusal),
    /// To an owner: permits in use, and what became of others.
    Report(PermitReport),
    /// To an owner: the states of its engines, please.
    Summaries,
    /// Answer to a report, or to a question for states.
    Reported(Vec<EngineSummary>),
    /// To the coordinator of a service's groups.
    AskGroup(GroupRequest),
    /// The whole group is reserved: the demand on each of its engines.
    GroupGranted(Vec<Demand>),
    /// To the home of an account's limit: a share of it.
    Lease(LeaseRequest),
    /// Answer to a lease.
    Leased(LeaseGrant),
    /// To a node: does it use this permit, or still want it?
    Uses(PermitKey),
    /// To any node: does it reach this one?
    Reaches(VmId),
    /// Answer to a yes-or-no question.
    Is(bool),
    /// Nothing to say.
    Done,
}

/// Names one permit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitKey {
    /// The engine.
    pub upstream: UpstreamId,
    /// The request.
    pub key: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
}

/// What a permit is about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the permit.
    pub permit: PermitKey,
    /// Node that holds it.
    pub holder: VmId,
    /// Client account.
    pub account: AccountName,
    /// Weight of the account's fair share.
    pub share: u32,
    /// Band of the whole prompt.
    pub band: Band,
    /// Length of the prompt, or of this engine's part of it.
    pub prompt: Tokens,
    /// Most tokens to generate.
    pub max_tokens: Tokens,
    /// Time until the answer is due.
    pub remaining: Millis,
}

impl Demand {
    /// Memory that the request may come to hold.
    #[must_use]
    pub const fn memory(&self) -> Tokens {
        self.prompt.saturating_add(self.max_tokens)
    }
}

/// Asks an owner for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What for.
    pub demand: Demand,
    /// Fingerprints of the prompt's prefixes, the shortest first.
    pub prefix: Vec<Fingerprint>,
    /// Estimated cost elsewhere, if there is an elsewhere: time to first token and delay to others.
    pub alternative: Option<Millis>,
}

/// A permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Its name.
    pub permit: PermitKey,
    /// Band whose priority the request has at the engine.
    pub rank: Band,
    /// Prompt tokens that the engine is believed to have in its cache.
    pub cached: Tokens,
    /// State of the engine after the grant.
    pub summary: EngineSummary,
}

/// An estimate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quote {
    /// Estimated time to first token.
    pub first_token: Millis,
    /// State of the engine.
    pub summary: EngineSummary,
}

/// A refusal by an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerRefusal {
    /// The permit that is refused.
    pub permit: PermitKey,
    /// The reason.
    pub reason: Reason,
    /// When a later try makes sense.
    pub retry_after: Option<Millis>,
    /// State of the engine.
    pub summary: Option<EngineSummary>,
}

/// State of an engine as its owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSummary {
    /// The engine.
    pub upstream: UpstreamId,
    /// Memory that is neither held nor claimed.
    pub free: Tokens,
    /// Work ahead of a short, a medium and a long prompt.
    pub ahead: [PrefillBacklog; 3],
    /// Long prefills running and queued.
    pub longs: u32,
    /// Time until half of the memory is free, and until nearly all of it is.
    pub memory_wait: [Millis; 2],
    /// Length of the engine's step.
    pub step: Millis,
    /// Learned time to first token.
    pub model: FirstTokenModel,
}

/// Permits in use and news of others, from an entry node to an owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PermitReport {
    /// News since the last report.
    pub notices: Vec<PermitNotice>,
    /// All permits on the owner's engines that the node uses, when they are renewed.
    pub renewed: Vec<PermitRenewal>,
}

/// News of one permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitNotice {
    /// Its name.
    pub permit: PermitKey,
    /// The news.
    pub news: PermitEvent,
}

/// What became of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitEvent {
    /// The first token came.
    FirstToken {
        /// Time since the dispatch.
        after: Millis,
    },
    /// It is closed.
    Closed {
        /// How it ended.
        completion: Completion,
        /// Time from the first token to the end.
        decoding: Millis,
    },
}

/// A permit that goes on. It says enough for a new owner to take it over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRenewal {
    /// What it is about.
    pub demand: Demand,
    /// Whether the first token has come.
    pub decoding: bool,
}

/// Asks for a group of engines that hold a prompt together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRequest {
    /// The service.
    pub service: ServiceName,
    /// The whole demand; its upstream is any engine of the service.
    pub demand: Demand,
    /// Engines that earlier attempts found wanting.
    pub excluded: Vec<UpstreamId>,
}

/// Asks for a share of an account's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The service through which the account is known.
    pub service: ServiceName,
    /// The account.
    pub account: AccountName,
    /// Requests wanted.
    pub requests: u32,
    /// Tokens wanted.
    pub tokens: Tokens,
    /// Tokens of the one request at hand.
    pub need: Tokens,
}

/// A share of an account's limit, void after a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Requests given.
    pub requests: u32,
    /// Tokens given.
    pub tokens: Tokens,
    /// When the rest of what was wanted will be there.
    pub retry_after: Millis,
}

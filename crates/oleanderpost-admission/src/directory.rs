//! [`Directory`] and what it shows.

use oleanderpost_types::{
    AccountName, DataCentre, Millis, RequestRate, ServiceName, TokenRate, Tokens, UpstreamId, VmId,
};

/// What this node knows of services, upstreams and nodes. It is read a few times a second.
pub trait Directory: Send + Sync {
    /// All services in force.
    fn services(&self) -> Vec<ServiceView>;
    /// Upstreams of a service, in any order.
    fn upstreams(&self, service: &ServiceName) -> Vec<UpstreamView>;
    /// All entry nodes of the platform's list, this one included.
    fn nodes(&self) -> Vec<NodeView>;
}

/// A service as admission sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Name.
    pub name: ServiceName,
    /// Whether model engines stand behind it.
    pub has_engines: bool,
    /// Greatest prompt length of each class, ascending. The first class is treated as short,
    /// whatever is longer than the last but one as long.
    pub classes: Vec<Tokens>,
    /// Greatest time limit of a request.
    pub time_limit: Millis,
    /// Client accounts that may call it.
    pub accounts: Vec<AccountView>,
}

/// Share and limits of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountView {
    /// Name.
    pub name: AccountName,
    /// Weight of its fair share.
    pub share: u32,
    /// Limit in requests per second over the whole fleet.
    pub requests_per_second: Option<RequestRate>,
    /// Limit in tokens, prompt and answer, per second over the whole fleet.
    pub tokens_per_second: Option<TokenRate>,
}

/// An upstream as admission sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Name.
    pub id: UpstreamId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Memory for KV cache; zero for plain services.
    pub memory: Tokens,
    /// Whether it takes new work.
    pub state: UpstreamState,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    Live,
    /// It finishes what it has.
    Leaving,
    /// It is no longer there; what it held is void.
    Gone,
}

/// A node as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeView {
    /// Its VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Whether this node reaches it at present.
    pub reachable: bool,
}

//! [`Directory`] and the types it returns.

use oleanderpost_types::{
    AccountName, DataCentre, Millis, RequestRate, ServiceName, TokenRate, Tokens, UpstreamId, VmId,
};

/// Source of services, upstreams and nodes, as known to this node. Read several times per second.
pub trait Directory: Send + Sync {
    /// All configured services.
    fn services(&self) -> Vec<ServiceView>;
    /// Upstreams of a service, in any order.
    fn upstreams(&self, service: &ServiceName) -> Vec<UpstreamView>;
    /// All entry nodes on the platform's list, including this one.
    fn nodes(&self) -> Vec<NodeView>;
}

/// Service properties used by admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Unique name.
    pub name: ServiceName,
    /// Whether the upstreams are model engines; otherwise the service is a plain one.
    pub has_engines: bool,
    /// Maximum prompt length of each class, ascending. Prompts of the first class count as short; prompts
    /// longer than the last class but one count as long.
    pub classes: Vec<Tokens>,
    /// Maximum time limit of a request.
    pub time_limit: Millis,
    /// Client accounts that may call the service.
    pub accounts: Vec<AccountView>,
}

/// Share and limits of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountView {
    /// Unique name.
    pub name: AccountName,
    /// Weight in fair sharing between accounts.
    pub share: u32,
    /// Rate limit in requests per second across the fleet.
    pub requests_per_second: Option<RequestRate>,
    /// Rate limit in prompt and answer tokens per second across the fleet.
    pub tokens_per_second: Option<TokenRate>,
}

/// Upstream properties used by admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamView {
    /// Unique name.
    pub id: UpstreamId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// KV cache capacity; zero for plain services.
    pub memory: Tokens,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new requests.
    Live,
    /// Finishes running requests but accepts no new ones.
    Leaving,
    /// No longer exists; everything it held is lost.
    Gone,
}

/// An entry node and its reachability from this node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeView {
    /// VM on which the node runs.
    pub vm: VmId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Whether this node can currently reach it.
    pub reachable: bool,
}

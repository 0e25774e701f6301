//! Request path of an entry node: routing, placement, forwarding and retries.
//!
//! [`RequestHandler`] reads and checks a request. An upstream is then chosen by a [`Scheduler`] if the
//! upstreams are model engines, or by [`PlainBalancer`] if requests have similar costs. The request is
//! forwarded and, if its kind allows, retried ([`RetryPolicy`]). Events of a stream are forwarded as they
//! arrive. The configuration and the upstreams are kept in [`NodeState`], which [`Discovery`] updates.
//! [`Node`] runs all parts.
//!
//! The protocols of the platform are behind traits: [`UpstreamCodec`] for requests and responses,
//! [`EngineControl`] for orders to engines and [`DiscoverySource`] for the discovery store.
//!
//! ```
//! use oleanderpost_serving::{BootTime, Evidence};
//! use std::time::Duration;
//!
//! let requested_at = BootTime::new(Duration::from_secs(100));
//! let mut evidence = Evidence::default();
//! evidence.confirm(requested_at);
//! assert!(evidence.is_fresh(requested_at.after(Duration::from_secs(4)), Duration::from_secs(5)));
//! assert!(!evidence.is_fresh(requested_at.after(Duration::from_secs(6)), Duration::from_secs(5)));
//! ```

mod account;
mod admin_server;
mod admitted_request;
mod attempt_error;
mod attempt_headers;
mod attempts;
mod body_reader;
mod boot_clock;
mod boot_time;
mod buffered_proxy;
mod caller_connections;
mod caller_limits;
mod caller_server;
mod candidate;
mod change_log;
mod client_connection;
mod cold_limit;
mod cold_times;
mod cold_upstream;
mod config_delta;
mod config_history;
mod crash_ledger;
mod crash_watch;
mod decision;
mod discovery;
mod discovery_source;
mod dispatch_status;
mod drain;
mod engine_control;
mod engine_finder;
mod engine_limit;
mod engine_load;
mod engine_profile;
mod engine_slowdown;
mod entry_context;
mod error;
mod evacuation_change;
mod event_queue;
mod event_reader;
mod event_splitter;
mod evidence;
mod first_event_error;
mod fleet_share;
mod fleet_slowdown;
mod freed_slots;
mod grant;
mod group_search;
mod hold_times;
mod in_progress_guard;
mod lease;
mod lease_owner;
mod light_backlog;
mod light_demand;
mod log_rate_limiter;
mod memory_allocation;
mod memory_budget;
mod memory_limits;
mod metered_buf;
mod metrics;
mod node;
mod node_gauges;
mod node_name;
mod node_state;
mod peer_changes;
mod peer_evidence;
mod peer_link;
mod peer_relay;
mod peer_state;
mod peer_state_source;
mod placement;
mod plain_balancer;
mod plain_selector;
mod planner;
mod quarantine;
mod queued_work;
mod recent_maximum;
mod rejection;
mod request_crash;
mod request_crash_ledger;
mod request_fingerprint;
mod request_handler;
mod request_head;
mod request_limiter;
mod request_quarantine;
mod request_rate;
mod request_stream;
mod request_verdicts;
mod reservations;
mod response_body;
mod response_head;
mod retry_budget;
mod retry_counters;
mod retry_policy;
mod retry_pool;
mod retry_pools;
mod retry_terms;
mod retry_totals;
mod route;
mod route_kind;
mod run_status;
mod scheduler;
mod scheduler_client;
mod scheduler_host;
mod scheduler_message;
mod service;
mod serving_config;
mod settings;
mod settings_fields;
mod share_history;
mod signal_table;
mod signal_version;
mod slow_engine;
mod slow_engine_table;
mod store_history;
mod store_position;
mod stream_proxy;
mod text_ids;
mod unmet_needs;
mod upstream;
mod upstream_client;
mod upstream_codec;
mod upstream_directory;
mod upstream_pool;
mod upstream_reach;
mod upstream_response;
mod upstream_signal;
mod upstream_wait;
mod work;
mod work_end;

pub use crate::{
    account::Account,
    admin_server::AdminServer,
    attempt_error::AttemptError,
    attempt_headers::{AttemptHeaders, HelperAddress},
    attempts::Attempts,
    body_reader::{BodyError, discard_body, read_body},
    boot_time::BootTime,
    caller_limits::CallerLimits,
    caller_server::CallerServer,
    client_connection::{ClientConnection, is_final_status},
    cold_limit::ColdLimit,
    cold_times::MAX_COLD_TIME,
    cold_upstream::ColdUpstream,
    config_delta::ConfigDelta,
    crash_ledger::CrashLedger,
    crash_watch::CrashWatch,
    decision::Decision,
    discovery::Discovery,
    discovery_source::{DiscoveryError, DiscoverySource, DiscoveryUpdate, UpstreamChange},
    drain::Drain,
    engine_control::{EngineControl, MaySend, ReserveAnswer},
    engine_limit::EngineLimit,
    engine_load::{EngineLoad, PartSpec, PlacementEstimate, RequestPart},
    engine_profile::EngineProfile,
    entry_context::EntryContext,
    error::{Error, Result},
    evacuation_change::EvacuationChange,
    event_splitter::{Event, EventSplitter},
    evidence::Evidence,
    fleet_share::FleetShare,
    grant::Grant,
    lease::Lease,
    log_rate_limiter::LogRateLimiter,
    memory_budget::OutOfMemory,
    metrics::Metrics,
    node::{Node, PlatformParts},
    node_name::node_name,
    node_state::NodeState,
    peer_changes::PeerChanges,
    peer_evidence::PeerEvidence,
    peer_link::PeerLink,
    peer_state::PeerState,
    peer_state_source::PeerStateSource,
    plain_balancer::PlainBalancer,
    quarantine::Quarantine,
    rejection::Rejection,
    request_crash::RequestCrash,
    request_crash_ledger::RequestCrashLedger,
    request_fingerprint::{InvalidFingerprint, RequestFingerprint},
    request_handler::RequestHandler,
    request_head::RequestHead,
    request_limiter::RequestLimiter,
    request_quarantine::RequestQuarantine,
    request_rate::{InvalidRate, RequestRate},
    request_verdicts::RequestVerdicts,
    response_body::{ResponseAborted, ResponseBody},
    response_head::{ResponseHead, UpstreamLoad},
    retry_budget::RetryBudget,
    retry_policy::RetryPolicy,
    retry_pools::RetryPools,
    retry_terms::RetryTerms,
    retry_totals::RetryTotals,
    route::Route,
    route_kind::RouteKind,
    run_status::RunStatus,
    scheduler::Scheduler,
    scheduler_client::{DecisionRouter, SchedulerClient},
    scheduler_host::{DecisionSink, SchedulerHost},
    scheduler_message::{HeldWork, SchedulerMessage},
    service::Service,
    serving_config::ServingConfig,
    settings::Settings,
    signal_table::SignalTable,
    signal_version::SignalVersion,
    slow_engine::{SlowEngine, SlowEngineChanges},
    store_history::StoreHistory,
    store_position::{InvalidPosition, StorePosition},
    text_ids::{
        AccountName, DataCentreName, PartId, RequestId, RouteName, ServiceName, UpstreamId,
    },
    upstream::Upstream,
    upstream_codec::UpstreamCodec,
    upstream_directory::{MISSING_ENTRY_GRACE, UpstreamDirectory},
    upstream_pool::idle_connection_limit,
    upstream_signal::UpstreamSignal,
    work::{Work, WorkId},
    work_end::WorkEnd,
};

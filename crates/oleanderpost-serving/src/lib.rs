//! The path of a request through an entry node.
//!
//! A request is read and checked ([`Reception`]), gets a place ([`Scheduler`] for model engines,
//! [`PlainBalancer`] for services whose requests are alike), is sent and, where its kind allows, repeated
//! ([`RetryPolicy`]); the events of a stream are passed on as they come. What a node knows stands in
//! [`NodeState`], which [`Discovery`] keeps current. [`Node`] joins the parts.
//!
//! The forms in which requests travel and the platform's store are behind the traits [`UpstreamCodec`],
//! [`EngineControl`] and [`DiscoverySource`].
//!
//! ```
//! use oleanderpost_serving::{BootTime, Evidence};
//! use std::time::Duration;
//!
//! let asked = BootTime::new(Duration::from_secs(100));
//! let mut evidence = Evidence::default();
//! evidence.confirm(asked);
//! assert!(evidence.is_fresh(asked.after(Duration::from_secs(4)), Duration::from_secs(5)));
//! assert!(!evidence.is_fresh(asked.after(Duration::from_secs(6)), Duration::from_secs(5)));
//! ```

mod account;
mod admin;
mod answer_body;
mod answer_head;
mod attempt_error;
mod attempt_head;
mod body_budget;
mod boot_time;
mod call;
mod call_head;
mod caller_limits;
mod candidate;
mod decision;
mod deployment;
mod directory;
mod discovery;
mod discovery_source;
mod drain;
mod engine_control;
mod engine_finder;
mod engine_load;
mod engine_profile;
mod engine_slowdown;
mod entry;
mod error;
mod event_source;
mod event_splitter;
mod evidence;
mod fleet_slowdown;
mod front;
mod grant;
mod in_progress_guard;
mod lease;
mod lease_owner;
mod light_demand;
mod log_rate_limiter;
mod metrics;
mod node;
mod node_gauges;
mod node_state;
mod open_answer;
mod peer_evidence;
mod peer_knowledge;
mod peer_link;
mod peer_state;
mod placement;
mod plain_balancer;
mod plain_task;
mod planner;
mod queued_work;
mod reception;
mod rejection;
mod reservations;
mod retry_budget;
mod retry_policy;
mod retry_terms;
mod route;
mod route_kind;
mod run_status;
mod scheduler;
mod scheduler_client;
mod scheduler_host;
mod scheduler_message;
mod seed_address;
mod service;
mod settings;
mod settings_fields;
mod stream_task;
mod text_ids;
mod unmet_needs;
mod upstream;
mod upstream_client;
mod upstream_codec;
mod upstream_pool;
mod work;
mod work_end;

pub use crate::{
    account::Account,
    admin::Admin,
    answer_body::{AnswerBody, BrokenOff},
    answer_head::{AnswerHead, UpstreamLoad},
    attempt_error::AttemptError,
    attempt_head::{AttemptHead, HelperAddress},
    boot_time::BootTime,
    call_head::CallHead,
    caller_limits::CallerLimits,
    decision::Decision,
    deployment::Deployment,
    directory::{Directory, RETURN_PATIENCE},
    discovery::Discovery,
    discovery_source::{Changes, DiscoveryError, DiscoverySource, Revision, UpstreamChange},
    drain::Drain,
    engine_control::{EngineControl, ReserveAnswer},
    engine_load::{EngineLoad, PartSpec, PlacementEstimate, RequestPart},
    engine_profile::EngineProfile,
    entry::Entry,
    error::{Error, Result},
    event_splitter::{Event, EventSplitter},
    evidence::Evidence,
    front::Front,
    grant::Grant,
    lease::Lease,
    log_rate_limiter::LogRateLimiter,
    metrics::Metrics,
    node::{Node, PlatformParts},
    node_state::NodeState,
    peer_evidence::PeerEvidence,
    peer_knowledge::PeerKnowledge,
    peer_link::PeerLink,
    peer_state::PeerState,
    plain_balancer::PlainBalancer,
    reception::Reception,
    rejection::Rejection,
    retry_budget::RetryBudget,
    retry_policy::{Attempts, RetryPolicy},
    retry_terms::RetryTerms,
    route::Route,
    route_kind::RouteKind,
    run_status::RunStatus,
    scheduler::Scheduler,
    scheduler_client::{DecisionRouter, SchedulerClient},
    scheduler_host::{DecisionSink, SchedulerHost},
    scheduler_message::{HeldWork, SchedulerMessage},
    seed_address::node_name,
    service::Service,
    settings::Settings,
    text_ids::{AccountName, CallId, DataCentreName, RouteName, ServiceName, UpstreamId},
    upstream::Upstream,
    upstream_codec::UpstreamCodec,
    upstream_pool::idle_share,
    work::{Work, WorkId},
    work_end::WorkEnd,
};

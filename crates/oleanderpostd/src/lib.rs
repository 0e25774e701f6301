//! The oleanderpost daemon of an entry VM.
//!
//! ```no_run
//! use oleanderpostd::{Daemon, Settings, SettingsFile};
//!
//! # async fn run() -> oleanderpostd::Result<()> {
//! let file = SettingsFile::read("settings.yaml".as_ref())?;
//! let daemon = Daemon::start(Settings::from_file(&file)?).await?;
//! println!("callers: {}", daemon.callers_address());
//! daemon.close().await;
//! # Ok(())
//! # }
//! ```

mod admin;
mod answer;
mod args;
mod call;
mod call_headers;
mod call_reader;
mod call_state;
mod claims_observer;
mod completion_task;
mod completions;
mod config_link;
mod connection;
mod control_metrics;
mod daemon;
mod dispatch;
mod dump;
mod engine_client;
mod engine_link;
mod engine_request;
mod engine_streams;
mod entry_node;
mod error;
mod event_reader;
mod failure;
mod fleet_directory;
mod forwarded;
mod in_flight;
mod late_links;
mod link_key;
mod listener;
mod log_level;
mod logs;
mod message;
mod metrics;
mod node;
mod order_link;
mod order_plans;
mod owner_link;
mod parts;
mod peer_dump;
mod peer_handler;
mod plain_answer;
mod plain_calls;
mod plain_client;
mod plain_request;
mod plain_task;
mod platform_client;
mod prefix;
mod problem_kind;
mod process_metrics;
mod refresh;
mod roster_link;
mod routes;
mod seed_peer;
mod sent;
mod setting_fault;
mod settings;
mod settings_file;
mod signal;
mod status;
mod upstream_address;
mod witness_link;

pub(crate) use crate::{
    admin::{Admin, AdminPage},
    call::Call,
    call_headers::CallHeaders,
    call_reader::CallReader,
    call_state::CallState,
    claims_observer::ClaimsObserver,
    completion_task::CompletionTask,
    completions::Completions,
    config_link::ConfigLink,
    connection::Connection,
    control_metrics::ControlMetrics,
    dispatch::Dispatch,
    dump::Dump,
    engine_client::EngineClient,
    engine_link::EngineLink,
    engine_request::EngineRequest,
    engine_streams::EngineStreams,
    event_reader::EventReader,
    failure::Failure,
    fleet_directory::FleetDirectory,
    in_flight::{InFlight, InFlightEntry},
    late_links::LateLinks,
    listener::Listener,
    message::Message,
    metrics::{ClassLabels, Metrics},
    node::Node,
    order_link::OrderLink,
    order_plans::OrderPlans,
    owner_link::OwnerLink,
    parts::Parts,
    peer_dump::PeerDump,
    peer_handler::PeerHandler,
    plain_answer::PlainAnswer,
    plain_calls::PlainCalls,
    plain_client::PlainClient,
    plain_request::PlainRequest,
    plain_task::PlainTask,
    platform_client::PlatformClient,
    process_metrics::ProcessMetrics,
    roster_link::RosterLink,
    sent::Sent,
    status::Status,
    upstream_address::UpstreamAddress,
    witness_link::WitnessLink,
};
pub use crate::{
    args::{Args, Command},
    daemon::Daemon,
    entry_node::run as run_entry,
    error::{Error, Result},
    link_key::LinkKey,
    log_level::LogLevel,
    logs::{init as init_logs, init_entry as init_entry_logs},
    problem_kind::ProblemKind,
    seed_peer::SeedPeer,
    setting_fault::SettingFault,
    settings::Settings,
    settings_file::SettingsFile,
    signal::stop_signal,
};

//! The daemon that serves requests on an entry VM.
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

mod admin_handler;
mod admission_refresh;
mod args;
mod call;
mod call_dispatcher;
mod call_headers;
mod call_reader;
mod call_state;
mod claims_list_observer;
mod completion_task;
mod completions_handler;
mod connection;
mod control_metrics;
mod daemon;
mod deferred_links;
mod dump;
mod engine_client;
mod engine_request;
mod engine_streams;
mod entry_node;
mod error;
mod event_reader;
mod failure;
mod fleet_directory;
mod forwarded_headers;
mod http_engine_probe;
mod http_order_client;
mod in_flight_calls;
mod link_config_peers;
mod link_key;
mod link_peer_client;
mod link_roster_transport;
mod link_witness_client;
mod listener;
mod log_level;
mod logs;
mod metrics;
mod node;
mod node_builder;
mod order_planner;
mod peer_dump;
mod peer_handler;
mod peer_message;
mod plain_calls_handler;
mod plain_client;
mod plain_request;
mod plain_response;
mod plain_task;
mod platform_client;
mod prefix;
mod problem_kind;
mod process_metrics;
mod response;
mod routes;
mod seed_peer;
mod sent_attempt;
mod setting_fault;
mod settings;
mod settings_file;
mod signal;
mod status;
mod upstream_address;

pub(crate) use crate::{
    admin_handler::{AdminHandler, AdminPage},
    call::Call,
    call_dispatcher::CallDispatcher,
    call_headers::CallHeaders,
    call_reader::CallReader,
    call_state::CallState,
    claims_list_observer::ClaimsListObserver,
    completion_task::CompletionTask,
    completions_handler::CompletionsHandler,
    connection::Connection,
    control_metrics::ControlMetrics,
    deferred_links::DeferredLinks,
    dump::Dump,
    engine_client::EngineClient,
    engine_request::EngineRequest,
    engine_streams::EngineStreams,
    event_reader::EventReader,
    failure::Failure,
    fleet_directory::FleetDirectory,
    http_engine_probe::HttpEngineProbe,
    http_order_client::HttpOrderClient,
    in_flight_calls::{InFlightCalls, InFlightEntry},
    link_config_peers::LinkConfigPeers,
    link_peer_client::LinkPeerClient,
    link_roster_transport::LinkRosterTransport,
    link_witness_client::LinkWitnessClient,
    listener::Listener,
    metrics::{ClassLabels, Metrics},
    node::Node,
    node_builder::NodeBuilder,
    order_planner::OrderPlanner,
    peer_dump::PeerDump,
    peer_handler::PeerHandler,
    peer_message::PeerMessage,
    plain_calls_handler::PlainCallsHandler,
    plain_client::PlainClient,
    plain_request::PlainRequest,
    plain_response::PlainResponse,
    plain_task::PlainTask,
    platform_client::PlatformClient,
    process_metrics::ProcessMetrics,
    sent_attempt::SentAttempt,
    status::Status,
    upstream_address::UpstreamAddress,
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

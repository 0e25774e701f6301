//! Test stand-ins for the systems around oleanderpost: platform, engine and plain service.
//!
//! [`Engine`] and [`Platform`] run in process and also work under paused time; [`EngineServer`],
//! [`PlatformServer`] and [`PlainServer`] serve HTTP. [`TcpProxy`] forwards connections between two
//! processes and can silence, reset or delay them. `PUT /v1/faults` injects faults, and
//! `GET /v1/evidence` reports what ran and what memory is held.
//!
//! | engine | |
//! |---|---|
//! | `POST /v1/completions` | run a request: server-sent events, or JSON without `stream` |
//! | `GET /v1/streams/{key}` | state of a request |
//! | `GET /v1/streams/{key}/events?offset=N&attempt=A` | resume from token `N` |
//! | `DELETE /v1/streams/{key}?attempt=A` | cancel |
//! | `GET /v1/holdings`, `GET /v1/load`, `GET /v1/state` | held memory, delayed load report, loaded model |
//! | `POST /v1/reservations`, `DELETE /v1/reservations/{key}` | reserve memory for a group |
//! | `POST /v1/orders` | load a model or adapters, change the role |
//! | `POST /v1/kv/export`, `DELETE /v1/kv/export/{key}`, `POST /v1/kv/import` | transfer a KV cache |
//! | `GET /v1/cache/events?after=S` | cache events, delayed and with some missing |
//! | `PUT /v1/faults`, `GET /v1/evidence` | [`EngineFaults`], [`EngineEvidence`]; on both listeners |
//!
//! | platform | |
//! |---|---|
//! | `GET /v1/config?after=R&wait_ms=W` | watch the fleet files |
//! | `PUT /v1/config/{name}`, `DELETE /v1/config/{name}` | change the fleet files |
//! | `GET /v1/vms?after=R&wait_ms=W` | watch the VM list |
//! | `PUT /v1/vms/{id}`, `DELETE /v1/vms/{id}` | change the VM list |
//! | `GET /v1/weights/{model}/{version}` | model weights, rate limited |
//! | `GET /v1/calls`, `PUT /v1/faults` | [`CallCounts`], [`PlatformFaults`] |
//!
//! A plain service answers any other path with its [`PlainRun`]. It serves [`PlainFaults`] at
//! `/v1/faults` and [`PlainEvidence`] at `/v1/evidence`.
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> oleanderpost_standin::Result<()> {
//! use oleanderpost_standin::{Engine, EngineSettings, Submission};
//! use oleanderpost_types::{RequestKey, StreamEvent, Tokens};
//!
//! let engine = Engine::new(EngineSettings::default());
//! let submission = Submission::new(RequestKey::new(), Tokens::new(1_000), 2);
//! let mut events = engine.submit(submission)?;
//! while let Some(event) = events.next().await {
//!     if let StreamEvent::End { tokens, .. } = event {
//!         assert_eq!(tokens, 2);
//!     }
//! }
//! engine.close().await;
//! # Ok(())
//! # }
//! ```

mod block_cache;
mod cache_event;
mod call_counts;
mod config_store;
mod core;
mod engine;
mod engine_faults;
mod engine_server;
mod engine_service;
mod engine_settings;
mod error;
mod event_stream;
mod fault_injecting_acceptor;
mod fault_injecting_stream;
mod fault_injector;
mod generated_text;
mod kv_transfer;
mod load_history;
mod loaded_model;
mod memory_leases;
mod plain_evidence;
mod plain_faults;
mod plain_server;
mod platform;
mod platform_faults;
mod platform_server;
mod platform_settings;
mod prefix_cache;
mod reply;
mod run;
mod run_log;
mod server;
mod shared;
mod step_model;
mod step_plan;
mod stream_entry;
mod streams;
mod submission;
mod tcp_proxy;
mod vm_store;

pub use crate::{
    cache_event::{CacheChange, CacheEvent, CacheEvents},
    call_counts::CallCounts,
    engine::Engine,
    engine_faults::EngineFaults,
    engine_server::EngineServer,
    engine_settings::EngineSettings,
    error::{Error, Result},
    event_stream::EventStream,
    fault_injector::FaultInjector,
    generated_text::GeneratedText,
    kv_transfer::{KvCache, KvExport, KvImported},
    plain_evidence::{PlainEvidence, PlainRun},
    plain_faults::PlainFaults,
    plain_server::PlainServer,
    platform::Platform,
    platform_faults::{PlatformFaults, StaleReplica},
    platform_server::PlatformServer,
    platform_settings::PlatformSettings,
    run::{EngineEvidence, Run, RunEnd},
    step_model::{StepModel, StepWork},
    submission::Submission,
    tcp_proxy::TcpProxy,
};

//! Admission control: ownership of engines, their ledgers, permits, rate limits, backoff and breakers.
//!
//! Each engine is owned by one node, which keeps a ledger of the engine's memory and prefill work.
//! An entry node requests a [`Permit`] from the owner, sends the request to the engine itself and then
//! closes the permit.
//!
//! ```
//! use std::sync::Arc;
//!
//! use oleanderpost_admission::{Admission, Directory, EngineProbe, PeerClient, Result};
//!
//! fn admission(
//!     directory: Arc<dyn Directory>,
//!     client: Arc<dyn PeerClient>,
//!     probe: Arc<dyn EngineProbe>,
//! ) -> Result<Admission> {
//!     Admission::builder()
//!         .with_directory(directory)
//!         .with_client(client)
//!         .with_probe(probe)
//!         .with_seed(7)
//!         .build("vm-1".parse().unwrap(), "dc-1".parse().unwrap())
//! }
//! ```

mod admission;
mod admission_request;
mod background;
mod backoff;
mod band;
mod breaker;
mod builder;
mod completion;
mod counters;
mod decision;
mod directory;
mod dump;
mod engine_choice;
mod engine_probe;
mod engine_summaries;
mod error;
mod first_token_model;
mod fleet;
mod group_assembly;
mod groups;
mod hints;
mod ledger;
mod ledger_entry;
mod ledger_maintenance;
mod limits;
mod load_meter;
mod local_upstreams;
mod messages;
mod peer_client;
mod pending_request;
mod permit;
mod permit_message;
mod prefill_backlog;
mod prefix_cache;
mod queue;
mod refusal;
mod rendezvous;
mod search;
mod settings;
mod shared;

pub use crate::{
    admission::Admission,
    admission_request::{AdmissionRequest, Fingerprint},
    backoff::Backoff,
    band::Band,
    breaker::Breaker,
    builder::Builder,
    completion::Completion,
    counters::{Counters, Counts},
    directory::{AccountView, Directory, NodeView, ServiceView, UpstreamState, UpstreamView},
    dump::{Dump, EngineDump},
    engine_probe::EngineProbe,
    error::{Error, Result},
    first_token_model::{FirstTokenModel, PrefillWork},
    peer_client::PeerClient,
    permit::Permit,
    permit_message::{
        Demand, EngineSummary, Grant, GroupRequest, LeaseGrant, LeaseRequest, OwnerRefusal,
        PermitEvent, PermitKey, PermitMessage, PermitNotice, PermitRenewal, PermitReport,
        PermitRequest, Quote,
    },
    prefill_backlog::PrefillBacklog,
    refusal::{Reason, Refusal},
    settings::Settings,
};

/// Locks `mutex` and ignores poisoning: critical sections are short, so a panic leaves consistent state.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

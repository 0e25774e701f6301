//! Ownership of upstreams, the admission ledger, permits, limits and retries.
//!
//! Each engine has one owner among the nodes, which keeps the ledger of its memory and prefill.
//! An entry node asks an owner for a [`Permit`], uses the engine itself and closes the permit.
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
mod ahead;
mod background;
mod backoff;
mod band;
mod breaker;
mod builder;
mod choice;
mod completion;
mod counters;
mod decision;
mod directory;
mod dump;
mod engine_probe;
mod entry;
mod error;
mod fleet;
mod group_task;
mod groups;
mod hints;
mod ledger;
mod limits;
mod load_meter;
mod local;
mod messages;
mod owner_client;
mod permit;
mod permit_message;
mod prefix_cache;
mod queue;
mod refusal;
mod rendezvous;
mod search;
mod settings;
mod shared;
mod step_model;
mod survey;
mod upkeep;
mod waiter;

pub use crate::{
    admission::Admission,
    admission_request::{AdmissionRequest, Fingerprint},
    ahead::PrefillBacklog,
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
    owner_client::PeerClient,
    permit::Permit,
    permit_message::{
        Demand, EngineSummary, Grant, GroupRequest, LeaseGrant, LeaseRequest, OwnerRefusal,
        PermitEvent, PermitKey, PermitMessage, PermitNotice, PermitRenewal, PermitReport,
        PermitRequest, Quote,
    },
    refusal::{Reason, Refusal},
    settings::Settings,
    step_model::{FirstTokenModel, PrefillWork},
};

/// Locks; a thread that panicked under the lock has left the state whole, as each step is short.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

//! Identifiers, units and wire types shared by all oleanderpost packages.
//!
//! Types that cross a process boundary are serialised with serde: as JSON towards callers, engines
//! and the platform, and as CBOR between nodes.

#[macro_use]
mod macros;

mod account_name;
mod attempt;
mod byte_size;
mod completion_reply;
mod completion_request;
mod config_entry;
mod config_reply;
mod data_centre;
mod engine_role;
mod engine_state;
mod error;
mod fencing_number;
mod file_name;
mod finish_reason;
mod generation;
pub mod header;
mod holding;
mod holding_kind;
mod incarnation;
mod load_report;
mod millis;
mod model_name;
mod order;
mod outcome;
mod priority;
mod problem;
mod prompt;
mod request_id;
mod request_key;
mod request_rate;
mod reservation_request;
mod revision;
mod service_name;
mod stream_event;
mod stream_status;
mod token_rate;
mod tokens;
mod upstream_id;
mod vm;
mod vm_id;
mod vm_list;
mod vm_role;
mod vm_state;

pub use crate::{
    account_name::AccountName,
    attempt::Attempt,
    byte_size::ByteSize,
    completion_reply::CompletionReply,
    completion_request::CompletionRequest,
    completion_request::DEFAULT_MAX_TOKENS,
    config_entry::ConfigEntry,
    config_reply::ConfigReply,
    data_centre::DataCentre,
    engine_role::EngineRole,
    engine_state::EngineState,
    error::{Error, MAX_NAME_LEN, Result},
    fencing_number::FencingNumber,
    file_name::FileName,
    finish_reason::FinishReason,
    generation::Generation,
    holding::Holding,
    holding_kind::HoldingKind,
    incarnation::Incarnation,
    load_report::LoadReport,
    millis::Millis,
    model_name::ModelName,
    order::Order,
    outcome::Outcome,
    priority::Priority,
    problem::Problem,
    prompt::Prompt,
    request_id::RequestId,
    request_key::RequestKey,
    request_rate::RequestRate,
    reservation_request::ReservationRequest,
    revision::Revision,
    service_name::ServiceName,
    stream_event::StreamEvent,
    stream_status::StreamStatus,
    token_rate::TokenRate,
    tokens::BYTES_PER_TOKEN,
    tokens::Tokens,
    upstream_id::UpstreamId,
    vm::Vm,
    vm_id::VmId,
    vm_list::VmList,
    vm_role::VmRole,
    vm_state::VmState,
};

//! At-most-once claims on request keys, and fenced orders to engines.
//!
//! Before a node dispatches a request that is not idempotent, it claims the caller's request key. A few
//! witness nodes, chosen from the VM list by rendezvous hashing, each grant a key to at most one claim. A
//! claim needs a majority of grants. Witnesses keep their state in memory only. A witness that can't prove
//! that it was responsible for the key at the key's reference time (its time of issue minus
//! [`Limits::lookback`]) abstains, so restarts, stale lists and partitions lead to a refusal.
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//!
//! use oleanderpost_claims::{ClaimEnd, ClaimMessage, ClaimsBuilder, Error, Result, WitnessClient};
//! use oleanderpost_types::{Incarnation, RequestKey, VmId, VmList};
//! use tokio::time::Instant;
//!
//! struct Links;
//!
//! #[async_trait::async_trait]
//! impl WitnessClient for Links {
//!     async fn request(&self, vm: &VmId, _msg: ClaimMessage) -> Result<ClaimMessage> {
//!         Err(Error::Unreachable { peer: vm.clone(), detail: "no link".to_owned() })
//!     }
//! }
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let vm = VmId::new("entry-1").unwrap();
//! let claims = ClaimsBuilder::new(vm, Incarnation::new(1), Arc::new(Links)).build();
//! claims.observe(&VmList::default());
//! let deadline = Instant::now() + Duration::from_secs(1);
//! match claims.claim(RequestKey::new(), deadline).await {
//!     Ok(claim) => claim.close(ClaimEnd::NotRun).await,
//!     Err(refusal) => println!("{refusal}, outcome {}", refusal.outcome()),
//! }
//! # }
//! ```

mod abstention;
mod claim;
mod claim_end;
mod claim_id;
mod claim_message;
mod claim_votes;
mod claims;
mod claims_builder;
mod claims_dump;
mod clock;
mod confirmation;
mod counters;
mod engine_target;
mod error;
mod fencing;
mod limits;
mod list_history;
mod list_sizes;
mod order_client;
mod order_limits;
mod order_plan;
mod order_reconciler;
mod order_reconciler_builder;
mod order_status;
mod order_tracker;
mod orders_dump;
mod peer_record;
mod quorum_check;
mod refusal;
mod service_target;
mod wall_clock;
mod witness;
mod witness_client;
mod witness_router;
mod witness_set;
mod witness_table;

pub use crate::{
    abstention::Abstention,
    claim::Claim,
    claim_end::ClaimEnd,
    claim_id::ClaimId,
    claim_message::ClaimMessage,
    claims::Claims,
    claims_builder::ClaimsBuilder,
    claims_dump::ClaimsDump,
    confirmation::Confirmation,
    counters::Counters,
    engine_target::EngineTarget,
    error::{Error, Result},
    fencing::fencing_number,
    limits::Limits,
    order_client::OrderClient,
    order_limits::OrderLimits,
    order_plan::{OrderPlan, PlanSource},
    order_reconciler::OrderReconciler,
    order_reconciler_builder::OrderReconcilerBuilder,
    order_status::OrderStatus,
    orders_dump::OrdersDump,
    refusal::Refusal,
    service_target::{ModelTarget, ServiceTarget},
    wall_clock::{SystemClock, WallClock},
    witness_client::WitnessClient,
};

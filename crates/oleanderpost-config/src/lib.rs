//! Fleet files: checking, merging and convergence of configuration.
//!
//! [`FleetFile`] is the format of the operators' files, [`Check`] reports every error in one, and [`Plan`]
//! lists the differences between two configurations. [`Convergence`] distributes accepted files to all
//! nodes and applies them there:
//!
//! ```
//! use std::sync::Arc;
//!
//! use async_trait::async_trait;
//! use oleanderpost_config::{
//!     ConfigMessage, ConfigPeers, ConfigSource, Convergence, Error, PeerView, Result,
//! };
//! use oleanderpost_types::{ConfigEntry, ConfigReply, Millis, Revision, VmId};
//!
//! /// A configuration service with one file.
//! struct OneFile;
//!
//! #[async_trait]
//! impl ConfigSource for OneFile {
//!     async fn changes(&self, after: Revision, wait: Millis) -> Result<ConfigReply> {
//!         let revision = Revision::new(1);
//!         let file = ConfigEntry {
//!             name: "fleet".parse().expect("a name"),
//!             revision,
//!             content: Some("generation: 1".to_owned()),
//!         };
//!         if after == revision {
//!             tokio::time::sleep(wait.into()).await;
//!         }
//!         let is_new = after < revision;
//!         Ok(ConfigReply { revision, entries: is_new.then_some(file).into_iter().collect() })
//!     }
//! }
//!
//! /// A fleet of one node.
//! struct NoPeers;
//!
//! #[async_trait]
//! impl ConfigPeers for NoPeers {
//!     fn peers(&self) -> Vec<PeerView> {
//!         Vec::new()
//!     }
//!
//!     async fn request(&self, vm: &VmId, _: ConfigMessage) -> Result<ConfigMessage> {
//!         Err(Error::Peer { vm: vm.clone(), step: "ask", reason: "no such peer".to_owned() })
//!     }
//! }
//!
//! # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()
//! # .expect("a runtime").block_on(async {
//! let convergence = Convergence::builder().with_seed(1).build(
//!     "vm-1".parse().expect("a name"),
//!     "north".parse().expect("a name"),
//!     Arc::new(OneFile),
//!     Arc::new(NoPeers),
//! );
//! convergence.run();
//! convergence.ready().wait_for(|ready| *ready).await.expect("the tasks run");
//! assert_eq!(convergence.status().files.len(), 1);
//! convergence.close().await;
//! # });
//! ```

mod action;
mod allowed;
mod blob;
mod call_rule;
mod change;
mod change_kind;
mod check;
mod client_account;
mod config_counters;
mod config_message;
mod config_peers;
mod config_source;
mod config_status;
mod content_hash;
mod convergence;
mod convergence_builder;
mod deltas;
mod error;
mod fencing;
mod field_change;
mod fields;
mod file_digest;
mod file_entry;
mod file_status;
mod finding;
mod findings;
mod fleet_file;
mod fleet_status;
mod gossip;
mod ingest;
mod length_class;
mod mechanism;
mod message_handler;
mod model_version;
mod order_authentication;
mod payload;
mod peer_view;
mod plan;
mod position;
mod ranking;
mod report_table;
mod reporter;
mod rollout;
mod root_report;
mod service;
mod service_kind;
mod shared;
mod snapshot;
mod source_state;
mod startup;
mod store;
mod survey;
mod token_hash;
mod tuning;
mod upstream;
mod validator;
mod verdict;
mod version;
mod watcher;
mod yaml_node;

pub use crate::{
    action::Action,
    allowed::{FORMAT, MAX_FILE_LEN, MAX_FINDINGS},
    blob::Blob,
    call_rule::CallRule,
    change::Change,
    change_kind::ChangeKind,
    check::Check,
    client_account::ClientAccount,
    config_counters::{ConfigCounters, Traffic},
    config_message::ConfigMessage,
    config_peers::ConfigPeers,
    config_source::ConfigSource,
    config_status::{ConfigStatus, Overlap},
    content_hash::ContentHash,
    convergence::Convergence,
    convergence_builder::ConvergenceBuilder,
    error::{Error, Result},
    fencing::Fencing,
    field_change::FieldChange,
    file_digest::FileDigest,
    file_status::FileStatus,
    finding::Finding,
    findings::Findings,
    fleet_file::FleetFile,
    fleet_status::{FileHolders, FleetStatus, VersionHolders},
    length_class::LengthClass,
    mechanism::Mechanism,
    model_version::ModelVersion,
    order_authentication::OrderAuthentication,
    payload::Payload,
    peer_view::PeerView,
    plan::Plan,
    rollout::Rollout,
    root_report::RootReport,
    service::Service,
    service_kind::ServiceKind,
    snapshot::Snapshot,
    source_state::SourceState,
    token_hash::TokenHash,
    tuning::Tuning,
    upstream::Upstream,
    verdict::Verdict,
    version::Version,
};

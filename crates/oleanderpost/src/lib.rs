//! Coordination components of a serving layer for language model engines.
//!
//! The components depend only on [`types`], except that [`serving`] also uses [`peers`]. Each declares the
//! interfaces it needs as traits, is constructed with a builder, and reports its state in a dump and in
//! counters:
//!
//! - [`config`]: fleet files and their convergence, so that all nodes accept the same versions
//! - [`peers`]: links between nodes, the platform's VM list, reachability of peers, marks of leaving nodes
//! - [`admission`]: owners of engines, permits, classes by prompt length, fair shares, limits
//! - [`claims`]: at-most-once execution by request key, orders to engines
//! - [`dispatch`]: one answer of an engine, complete and in order, across connections that break or
//!   stop sending
//! - [`serving`]: the request path of an entry node: engine scheduler, retries, evidence that the
//!   configuration is current
//! - [`types`]: identifiers, units and wire types that all components use
//!
//! An application uses the components it needs and implements their traits. This example builds a node
//! without peers that reads its fleet files from its own source:
//!
//! ```
//! use std::sync::Arc;
//!
//! use oleanderpost::{
//!     config::{
//!         ConfigMessage, ConfigPeers, ConfigSource, Convergence, Error, PeerView, Result,
//!     },
//!     types::{ConfigEntry, ConfigReply, Millis, Revision, VmId},
//! };
//!
//! struct Files;
//!
//! #[async_trait::async_trait]
//! impl ConfigSource for Files {
//!     async fn changes(&self, after: Revision, wait: Millis) -> Result<ConfigReply> {
//!         let revision = Revision::new(1);
//!         let file = ConfigEntry {
//!             name: "fleet".parse().unwrap(),
//!             revision,
//!             content: Some("format: 1\ngeneration: 1\n".to_owned()),
//!         };
//!         if after >= revision {
//!             tokio::time::sleep(wait.into()).await;
//!         }
//!         let entries = if after < revision { vec![file] } else { Vec::new() };
//!         Ok(ConfigReply { revision, entries })
//!     }
//! }
//!
//! struct NoPeers;
//!
//! #[async_trait::async_trait]
//! impl ConfigPeers for NoPeers {
//!     fn peers(&self) -> Vec<PeerView> {
//!         Vec::new()
//!     }
//!
//!     async fn request(&self, vm: &VmId, _msg: ConfigMessage) -> Result<ConfigMessage> {
//!         Err(Error::Peer { vm: vm.clone(), step: "ask", reason: "no peers".to_owned() })
//!     }
//! }
//!
//! # #[tokio::main(flavor = "current_thread", start_paused = true)]
//! # async fn main() {
//! let convergence = Convergence::builder().build(
//!     "vm-1".parse().unwrap(),
//!     "dc-1".parse().unwrap(),
//!     Arc::new(Files),
//!     Arc::new(NoPeers),
//! );
//! convergence.run();
//! convergence.ready().wait_for(|ready| *ready).await.unwrap();
//! assert!(convergence.version(&"fleet".parse().unwrap()).is_some());
//! convergence.close().await;
//! # }
//! ```

pub use oleanderpost_admission as admission;
pub use oleanderpost_claims as claims;
pub use oleanderpost_config as config;
pub use oleanderpost_dispatch as dispatch;
pub use oleanderpost_peers as peers;
pub use oleanderpost_serving as serving;
pub use oleanderpost_types as types;

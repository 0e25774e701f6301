//! Links between nodes, VM list, reachability and leaving marks.
//!
//! [`LinksBuilder`] opens the [`Links`] of one node, for messages of a type that the application defines.
//!
//! ```
//! use std::{collections::HashMap, sync::Arc, time::Duration};
//!
//! use oleanderpost_peers::{Handler, LinksBuilder, MessageKind, SharedKey};
//! use oleanderpost_types::{DataCentre, Incarnation, VmId};
//! use rand_chacha::{ChaCha20Rng, rand_core::SeedableRng};
//! use serde::{Deserialize, Serialize};
//!
//! #[derive(Debug, Serialize, Deserialize)]
//! enum Hello {
//!     Name(String),
//! }
//!
//! impl MessageKind for Hello {
//!     fn kind(&self) -> &'static str {
//!         "name"
//!     }
//! }
//!
//! struct Greeter;
//!
//! #[async_trait::async_trait]
//! impl Handler<Hello> for Greeter {
//!     async fn handle(&self, from: &VmId, _msg: Hello) -> Option<Hello> {
//!         Some(Hello::Name(format!("hello {from}")))
//!     }
//! }
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let builder = |name: &str| -> Result<_, Box<dyn std::error::Error>> {
//!     let key: SharedKey = "6f6c65616e646572706f737420646f6373".parse()?;
//!     let dc = DataCentre::new("dc-a")?;
//!     let listen = "127.0.0.1:0".parse()?;
//!     let rng = ChaCha20Rng::seed_from_u64(1);
//!     Ok(LinksBuilder::new(VmId::new(name)?, Incarnation::new(1), dc, key, listen, rng))
//! };
//! let b = builder("vm-b")?.open::<Hello>(Arc::new(Greeter)).await?;
//! let book = HashMap::from([(VmId::new("vm-b")?, b.local_addr())]);
//! let a = builder("vm-a")?.with_address_book(Arc::new(book)).open(Arc::new(Greeter)).await?;
//!
//! let to = VmId::new("vm-b")?;
//! let Hello::Name(text) = a.request(&to, Hello::Name("vm-a".into()), Duration::from_secs(5)).await?;
//! assert_eq!(text, "hello vm-a");
//! a.close(Duration::from_secs(1)).await;
//! b.close(Duration::from_secs(1)).await;
//! # Ok(())
//! # }
//! ```

mod address_book;
mod connection;
mod context;
mod dial;
mod encoded_handler;
mod end_reason;
mod error;
mod frame;
mod gossip;
mod handler;
mod handshake;
mod held_list;
mod leaving_mark;
mod leaving_marks;
mod link_counters;
mod link_limits;
mod link_timings;
mod links;
mod links_builder;
mod list_observer;
mod listener;
mod liveness;
mod message;
mod message_assembler;
mod pause_watch;
mod peer;
mod peer_view;
mod reachability;
mod reader;
mod ring;
mod roster;
mod roster_builder;
mod roster_core;
mod roster_counters;
mod roster_message;
mod roster_timings;
mod roster_transport;
mod roster_view;
mod send_progress;
mod send_queue;
mod shared_key;
mod vm_source;
mod wall_clock;
mod watcher;
mod writer;

pub use crate::{
    address_book::AddressBook,
    error::{Error, Result},
    handler::Handler,
    leaving_mark::{LeavingMark, MarkScope},
    link_counters::{KindCounters, LinkCounters},
    link_limits::LinkLimits,
    link_timings::LinkTimings,
    links::Links,
    links_builder::LinksBuilder,
    list_observer::ListObserver,
    message::{Message, MessageKind},
    pause_watch::PauseWatch,
    peer_view::PeerView,
    reachability::Reachability,
    roster::Roster,
    roster_builder::RosterBuilder,
    roster_counters::RosterCounters,
    roster_message::{ContactChange, ListStep, RosterDigest, RosterMessage},
    roster_timings::RosterTimings,
    roster_transport::RosterTransport,
    roster_view::RosterView,
    send_progress::SendProgress,
    shared_key::{MIN_KEY_LEN, SharedKey},
    vm_source::VmSource,
    wall_clock::{SystemClock, WallClock},
};

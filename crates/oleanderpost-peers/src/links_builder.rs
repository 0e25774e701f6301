//! [`LinksBuilder`].

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU64},
};

use oleanderpost_types::{DataCentre, Incarnation, VmId};
use rand::CryptoRng;
use tokio::sync::Semaphore;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    AddressBook, Error, Handler, LinkLimits, LinkTimings, Links, Message, Result, SharedKey,
    context::Context, dial, encoded_handler::DecodingHandler, handshake::Identity,
    link_counters::SharedCounters, listener,
};

/// Length of the listener's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;

/// Builds [`Links`].
pub struct LinksBuilder {
    own_identity: Identity,
    key: SharedKey,
    listen: SocketAddr,
    timings: LinkTimings,
    limits: LinkLimits,
    address_book: Arc<dyn AddressBook>,
    rng: Box<dyn CryptoRng + Send>,
}

impl LinksBuilder {
    /// Builder for the links of the VM `vm`, with an empty address book.
    ///
    /// `rng` generates nonces and backoff delays; in production it must be seeded by the operating system.
    #[must_use]
    pub fn new(
        vm: VmId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        key: SharedKey,
        listen: SocketAddr,
        rng: impl CryptoRng + Send + 'static,
    ) -> Self {
        Self {
            own_identity: Identity {
                vm,
                incarnation,
                data_centre,
            },
            key,
            listen,
            timings: LinkTimings::default(),
            limits: LinkLimits::default(),
            address_book: Arc::new(HashMap::<VmId, SocketAddr>::new()),
            rng: Box::new(rng),
        }
    }

    /// Sets the address book of the peers.
    #[must_use]
    pub fn with_address_book(mut self, address_book: Arc<dyn AddressBook>) -> Self {
        self.address_book = address_book;
        self
    }

    /// Sets the timeouts and intervals.
    #[must_use]
    pub fn with_timings(mut self, timings: LinkTimings) -> Self {
        self.timings = timings;
        self
    }

    /// Sets the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: LinkLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Opens the listener and starts to accept peers.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the address cannot be bound.
    pub async fn open<M: Message>(self, handler: Arc<dyn Handler<M>>) -> Result<Links<M>> {
        let listener = self.bind().map_err(Error::Listen)?;
        let local_addr = listener.local_addr().map_err(Error::Listen)?;
        let counters = Arc::new(SharedCounters::default());
        let decoding_handler = DecodingHandler {
            handler,
            counters: Arc::clone(&counters),
        };
        let limits = self.limits;
        let max_received_bytes = limits.max_received_bytes.min(limits.max_buffered_bytes);
        let cx = Arc::new(Context {
            own_identity: self.own_identity,
            key: self.key,
            timings: self.timings,
            limits,
            address_book: self.address_book,
            handler: Arc::new(decoding_handler),
            counters,
            rng: Mutex::new(self.rng),
            outgoing_bytes: Arc::new(Semaphore::new(limits.max_buffered_bytes)),
            incoming_bytes: Arc::new(Semaphore::new(max_received_bytes)),
            peers: Mutex::default(),
            next_id: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            closing: CancellationToken::new(),
            closed: CancellationToken::new(),
        });
        cx.tasks.spawn(listener::run(Arc::clone(&cx), listener));
        Ok(Links::new(cx, local_addr))
    }

    fn bind(&self) -> std::io::Result<tokio::net::TcpListener> {
        let socket = dial::new_socket(self.listen, &self.limits)?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.listen)?;
        socket.listen(BACKLOG)
    }
}

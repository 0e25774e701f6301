//! [`Peer`]: one other node, with its queue, its pending requests and its connections.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use oleanderpost_types::{DataCentre, Incarnation, VmId};
use slotmap::SlotMap;
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, timeout},
};

use crate::{
    Error, PeerView, Reachability, SendProgress,
    connection::Connection,
    context::Context,
    dial,
    end_reason::EndReason,
    frame::FrameKind,
    handshake::{Identity, Refusal},
    link_counters::Counter,
    send_queue::{OutgoingMessage, SendQueue},
};

slotmap::new_key_type! {
    /// One connection of a peer.
    pub(crate) struct ConnectionKey;
}

pub(crate) type RequestResult = Result<Bytes, Error>;

/// Why a message was not queued.
pub(crate) enum SubmitError {
    /// The queue is full.
    Full,
    /// The peer's task has ended; the message is returned.
    PeerRemoved(OutgoingMessage, Option<oneshot::Sender<RequestResult>>),
}

struct PendingRequest {
    tx: oneshot::Sender<RequestResult>,
    connection: Option<ConnectionKey>,
}

#[derive(Default)]
pub(crate) struct PeerState {
    send_queue: SendQueue,
    pending: HashMap<u64, PendingRequest>,
    connections: SlotMap<ConnectionKey, Arc<Connection>>,
    current: Option<ConnectionKey>,
    identity: Option<(Incarnation, DataCentre)>,
    reachability: Reachability,
    failures: u32,
    retry_at: Option<Instant>,
    /// Whether a connection failed, so that a new one must be opened to check whether the peer is reachable.
    check_reachability: bool,
    /// Whether the peer's task has ended.
    ended: bool,
}

/// What the peer's task does next.
enum PeerAction {
    Nothing,
    Verify(Arc<Connection>),
    Dial,
    /// The backoff after a failed attempt has not passed: fail all queued messages.
    FailQueued,
}

pub(crate) struct Peer {
    pub(crate) vm: VmId,
    state: Mutex<PeerState>,
    task_notify: Notify,
}

impl Peer {
    pub(crate) fn new(vm: VmId) -> Self {
        Self {
            vm,
            state: Mutex::default(),
            task_notify: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock().expect("no panic under this lock")
    }

    /// Queues a message; a request also has `tx` for its answer.
    pub(crate) fn submit(
        &self,
        cx: &Context,
        message: OutgoingMessage,
        tx: Option<oneshot::Sender<RequestResult>>,
    ) -> Result<(), SubmitError> {
        let mut state = self.lock();
        if state.ended {
            return Err(SubmitError::PeerRemoved(message, tx));
        }
        if state.send_queue.len() >= cx.limits.max_queued_messages {
            return Err(SubmitError::Full);
        }
        if let Some(tx) = tx {
            let connection = None;
            state
                .pending
                .insert(message.id, PendingRequest { tx, connection });
        }
        state.send_queue.push(message, cx.limits.chunk_bytes);
        match state.current() {
            Some(connection) => connection.writer_notify.notify_one(),
            None => self.task_notify.notify_one(),
        }
        Ok(())
    }

    /// Removes a request whose caller no longer waits; returns whether it was written.
    pub(crate) fn abandon_request(&self, id: u64) -> SendProgress {
        let mut state = self.lock();
        let Some(pending) = state.pending.remove(&id) else {
            return SendProgress::Written;
        };
        let Some(key) = pending.connection else {
            state.send_queue.remove(id);
            return SendProgress::Queued;
        };
        if let Some(connection) = state.connections.get(key) {
            connection.request_abandoned();
        }
        SendProgress::Written
    }

    /// The next message for the connection `key`, if that is the current one and needs no ping first.
    pub(crate) fn next_outgoing(
        &self,
        cx: &Context,
        key: ConnectionKey,
        large: bool,
    ) -> Option<OutgoingMessage> {
        let mut state = self.lock();
        if state.current != Some(key) || state.send_queue.is_empty() {
            return None;
        }
        let connection = Arc::clone(state.connections.get(key)?);
        if !connection.is_verified(cx.timings.verify_after) {
            self.task_notify.notify_one();
            return None;
        }
        let message = if large {
            state.send_queue.pop_large()
        } else {
            state.send_queue.pop_small()
        }?;
        if let Some(pending) = state.pending.get_mut(&message.id) {
            pending.connection = Some(key);
        }
        connection.record_write(message.kind == FrameKind::Request);
        Some(message)
    }

    /// Passes an answer to the caller of the request.
    pub(crate) fn complete_request(&self, id: u64, result: RequestResult) {
        let mut state = self.lock();
        let Some(pending) = state.pending.remove(&id) else {
            return;
        };
        if let Some(connection) = pending
            .connection
            .and_then(|key| state.connections.get(key))
        {
            connection.request_finished();
        }
        let _ = pending.tx.send(result);
    }

    /// Refuses an incarnation older than the newest one known.
    pub(crate) fn check_incarnation(&self, identity: &Identity) -> Result<(), Refusal> {
        match self.lock().identity {
            Some((known, _)) if identity.incarnation < known => Err(Refusal::OldIncarnation),
            _ => Ok(()),
        }
    }

    /// Adds a connection after its handshake and closes the connections of older incarnations; `None` when
    /// the incarnation is too old or the peer's task has ended.
    pub(crate) fn add_connection(
        &self,
        cx: &Context,
        identity: Identity,
        connection: Arc<Connection>,
    ) -> Option<ConnectionKey> {
        let mut state = self.lock();
        let is_newer = match state.identity {
            Some((known, _)) if identity.incarnation < known => return None,
            Some((known, _)) => identity.incarnation > known,
            None => true,
        };
        if state.ended {
            return None;
        }
        if is_newer {
            for old in state.connections.values() {
                cx.counters.increment(Counter::Superseded);
                old.terminate(EndReason::Superseded);
            }
        }
        let excess = state.excess_connections(cx.limits.max_connections);
        state.identity = Some((identity.incarnation, identity.data_centre));
        state.reachability = Reachability::Reachable;
        state.failures = 0;
        state.retry_at = None;
        state.check_reachability = false;
        let key = state.connections.insert(connection);
        state.current = Some(key);
        drop(state);
        excess.iter().for_each(|old| old.close_gracefully());
        Some(key)
    }

    /// Stops sending new messages on a connection that is about to close.
    pub(crate) fn stop_using(&self, key: ConnectionKey) {
        let mut state = self.lock();
        if state.current == Some(key) {
            state.current = None;
            self.task_notify.notify_one();
        }
    }

    /// Removes a connection that has ended; requests written to it fail.
    pub(crate) fn remove_connection(&self, key: ConnectionKey, end_reason: &EndReason) {
        let mut state = self.lock();
        state.connections.remove(key);
        if state.current == Some(key) {
            state.current = None;
        }
        let lost_requests: Vec<u64> = state.requests_on(key);
        for id in lost_requests {
            if let Some(pending) = state.pending.remove(&id) {
                let peer = self.vm.clone();
                let reason = end_reason.to_string();
                let _ = pending.tx.send(Err(Error::ConnectionLost { peer, reason }));
            }
        }
        state.check_reachability |= end_reason.is_failure();
        self.task_notify.notify_one();
    }

    /// Snapshot of the state, for the dump and for routing.
    pub(crate) fn view(&self) -> PeerView {
        let state = self.lock();
        PeerView {
            vm: self.vm.clone(),
            identity: state.identity.clone(),
            reachability: state.reachability,
            connections: state.connections.len(),
            queued: state.send_queue.len(),
            pending: state.pending.len(),
        }
    }

    /// All open connections.
    pub(crate) fn connections(&self) -> Vec<Arc<Connection>> {
        self.lock().connections.values().cloned().collect()
    }

    /// The peer's task: opens a connection when messages are queued and no connection answers.
    pub(crate) async fn run(self: Arc<Self>, cx: Arc<Context>) {
        loop {
            let notified = tokio::select! {
                () = cx.closed.cancelled() => break,
                notified = timeout(cx.timings.idle_timeout, self.task_notify.notified()) => notified.is_ok(),
            };
            if !notified && self.remove_if_unused(&cx) {
                return;
            }
            match self.next_action(&cx) {
                PeerAction::Nothing => {}
                PeerAction::Verify(connection) => self.verify(&cx, &connection).await,
                PeerAction::Dial => self.dial(&cx).await,
                PeerAction::FailQueued => self.fail_queued("open", "retry delay has not passed"),
            }
        }
        self.lock().ended = true;
        self.fail_queued("open", "links are closed");
    }

    fn next_action(&self, cx: &Context) -> PeerAction {
        let mut state = self.lock();
        state.replace_ending_connection();
        if let Some(connection) = state.current().cloned() {
            state.check_reachability = false;
            if state.send_queue.is_empty() {
                return PeerAction::Nothing;
            }
            if connection.is_verified(cx.timings.verify_after) {
                connection.writer_notify.notify_one();
                return PeerAction::Nothing;
            }
            return PeerAction::Verify(connection);
        }
        if cx.closing.is_cancelled() || (state.send_queue.is_empty() && !state.check_reachability) {
            return PeerAction::Nothing;
        }
        state.check_reachability = false;
        match state.retry_at {
            Some(at) if Instant::now() < at => PeerAction::FailQueued,
            _ => PeerAction::Dial,
        }
    }

    /// Pings a connection before it is used; closes it when no answer comes in time.
    async fn verify(&self, cx: &Context, connection: &Connection) {
        connection.require_probe();
        let answered = timeout(cx.timings.pong_timeout, connection.wait_probe_answered()).await;
        if answered.is_err() {
            connection.terminate(EndReason::Silent);
        }
        self.task_notify.notify_one();
    }

    async fn dial(self: &Arc<Self>, cx: &Arc<Context>) {
        match timeout(cx.timings.open_timeout, dial::open(cx, self)).await {
            Ok(Ok(())) => cx.counters.increment(Counter::Dialled),
            Ok(Err((step, reason))) => self.dial_failed(cx, step, &reason),
            Err(_) => self.dial_failed(cx, "open", "no answer in time"),
        }
    }

    fn dial_failed(&self, cx: &Context, step: &'static str, reason: &str) {
        cx.counters.increment(Counter::DialFailures);
        {
            let mut state = self.lock();
            state.replace_ending_connection();
            if state.current.is_some() {
                self.task_notify.notify_one();
                return;
            }
            state.failures = state.failures.saturating_add(1);
            state.retry_at = Some(Instant::now() + cx.backoff(state.failures));
            if !matches!(state.reachability, Reachability::Unreachable { .. }) {
                let since = Instant::now();
                state.reachability = Reachability::Unreachable { since };
            }
        }
        self.fail_queued(step, reason);
    }

    fn fail_queued(&self, step: &'static str, reason: &str) {
        let mut state = self.lock();
        for message in state.send_queue.drain() {
            if let Some(pending) = state.pending.remove(&message.id) {
                let error = Error::Unreachable {
                    peer: self.vm.clone(),
                    step,
                    reason: reason.to_owned(),
                };
                let _ = pending.tx.send(Err(error));
            }
        }
    }

    /// Removes the peer if it is no longer in the address book and has no connections, messages or requests.
    fn remove_if_unused(&self, cx: &Context) -> bool {
        if cx.address_book.address(&self.vm).is_some() {
            return false;
        }
        let mut peers = cx.lock_peers();
        let mut state = self.lock();
        let unused =
            state.connections.is_empty() && state.send_queue.is_empty() && state.pending.is_empty();
        if !unused {
            return false;
        }
        state.ended = true;
        peers.remove(&self.vm);
        true
    }

    /// Fails all queued messages and closes all connections gracefully.
    pub(crate) fn close_gracefully(&self) {
        self.fail_queued("open", "links are closed");
        for connection in self.connections() {
            connection.close_gracefully();
        }
    }

    /// Waits until all connections have ended.
    pub(crate) async fn wait_drained(&self) {
        for connection in self.connections() {
            connection.wait_ended().await;
        }
    }
}

impl PeerState {
    fn current(&self) -> Option<&Arc<Connection>> {
        self.connections.get(self.current?)
    }

    /// The oldest connections in use that must close so that one more stays within `limit`.
    fn excess_connections(&self, limit: usize) -> Vec<Arc<Connection>> {
        let in_use = self.connections.values().filter(|c| !c.is_ending());
        let mut in_use: Vec<_> = in_use.cloned().collect();
        in_use.sort_by_key(|c| c.opened_at());
        in_use.truncate((in_use.len() + 1).saturating_sub(limit));
        in_use
    }

    fn replace_ending_connection(&mut self) {
        if self.current().is_none_or(|c| c.is_ending()) {
            let other = self.connections.iter().filter(|(_, c)| !c.is_ending());
            self.current = other.max_by_key(|(_, c)| c.opened_at()).map(|(key, _)| key);
        }
    }

    fn requests_on(&self, key: ConnectionKey) -> Vec<u64> {
        let requests = self
            .pending
            .iter()
            .filter(|(_, p)| p.connection == Some(key));
        requests.map(|(id, _)| *id).collect()
    }
}

//! [`Connection`]: one open WebSocket with a peer, and its task.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use futures_util::StreamExt;
use oleanderpost_types::VmId;
use tokio::{
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Error,
    context::Context,
    encoded_handler::HandleOutcome,
    end_reason::EndReason,
    frame::FrameKind,
    handshake::{Identity, Socket},
    link_counters::Counter,
    liveness::{HeartbeatAction, Liveness},
    message_assembler::MessageAssembler,
    peer::{ConnectionKey, Peer},
    reader::Reader,
    send_queue::{OutgoingMessage, SendQueue},
    writer::Writer,
};

pub(crate) struct Connection {
    peer: Arc<Peer>,
    key: OnceLock<ConnectionKey>,
    liveness: Mutex<Liveness>,
    /// Answers to the peer's requests, and control frames such as pings.
    send_queue: Mutex<SendQueue>,
    /// Signals the writer that a message may be ready.
    pub(crate) writer_notify: Notify,
    heartbeat_notify: Notify,
    answer_notify: Notify,
    handler_slots: Arc<Semaphore>,
    ended: CancellationToken,
    end_reason: OnceLock<EndReason>,
}

impl Connection {
    /// Registers the connection with the peer and starts its task; false when the peer rejects it.
    pub(crate) fn start(
        cx: &Arc<Context>,
        peer: &Arc<Peer>,
        identity: Identity,
        socket: Socket,
    ) -> bool {
        let connection = Arc::new(Self {
            peer: Arc::clone(peer),
            key: OnceLock::new(),
            liveness: Mutex::new(Liveness::new()),
            send_queue: Mutex::default(),
            writer_notify: Notify::new(),
            heartbeat_notify: Notify::new(),
            answer_notify: Notify::new(),
            handler_slots: Arc::new(Semaphore::new(cx.limits.max_handlers)),
            ended: CancellationToken::new(),
            end_reason: OnceLock::new(),
        });
        let Some(key) = peer.add_connection(cx, identity, Arc::clone(&connection)) else {
            return false;
        };
        let _ = connection.key.set(key);
        cx.tasks.spawn(connection.run(Arc::clone(cx), key, socket));
        true
    }

    fn lock_liveness(&self) -> MutexGuard<'_, Liveness> {
        self.liveness.lock().expect("no panic under this lock")
    }

    pub(crate) fn opened_at(&self) -> Instant {
        self.lock_liveness().opened_at()
    }

    pub(crate) fn is_verified(&self, verify_after: Duration) -> bool {
        self.lock_liveness().is_verified(verify_after)
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.ended.is_cancelled() || self.lock_liveness().is_closing()
    }

    /// Records that a message is being written.
    pub(crate) fn record_write(&self, is_request: bool) {
        if self.lock_liveness().record_write(is_request) {
            self.heartbeat_notify.notify_one();
        }
    }

    /// Records that a request was answered.
    pub(crate) fn request_finished(&self) {
        self.lock_liveness().request_finished();
    }

    /// Records that a request was abandoned without an answer: the connection must answer a ping before
    /// it is used again.
    pub(crate) fn request_abandoned(&self) {
        let mut liveness = self.lock_liveness();
        liveness.request_finished();
        liveness.require_probe();
        self.heartbeat_notify.notify_one();
    }

    /// Sends a ping at once, which must be answered before the connection is used again.
    pub(crate) fn require_probe(&self) {
        self.lock_liveness().require_probe();
        self.heartbeat_notify.notify_one();
    }

    /// Waits until the peer has answered on this connection, or the connection has ended.
    pub(crate) async fn wait_probe_answered(&self) {
        loop {
            let mut answered = pin!(self.answer_notify.notified());
            answered.as_mut().enable();
            if !self.lock_liveness().is_probe_required() {
                return;
            }
            tokio::select! {
                () = answered => {}
                () = self.ended.cancelled() => return,
            }
        }
    }

    /// Closes the connection at once.
    pub(crate) fn terminate(&self, reason: EndReason) {
        let _ = self.end_reason.set(reason);
        self.ended.cancel();
    }

    /// Waits until the connection has ended.
    pub(crate) async fn wait_ended(&self) {
        self.ended.cancelled().await;
    }

    /// Closes gracefully: writes no new messages, and answers the requests in progress.
    pub(crate) fn close_gracefully(&self) {
        if !self.lock_liveness().start_closing() {
            return;
        }
        if let Some(key) = self.key.get() {
            self.peer.stop_using(*key);
        }
        self.lock_send_queue()
            .push_last(OutgoingMessage::new(FrameKind::Goodbye, 0));
        self.writer_notify.notify_one();
        self.heartbeat_notify.notify_one();
    }

    fn lock_send_queue(&self) -> MutexGuard<'_, SendQueue> {
        self.send_queue.lock().expect("no panic under this lock")
    }

    fn queue(&self, message: OutgoingMessage, chunk_bytes: usize) {
        self.lock_send_queue().push(message, chunk_bytes);
        self.writer_notify.notify_one();
    }

    /// Queues a control frame.
    pub(crate) fn queue_frame(&self, kind: FrameKind, id: u64) {
        self.queue(OutgoingMessage::new(kind, id), usize::MAX);
    }

    /// The next message to write: this connection's own queue first, then the queue of the peer.
    pub(crate) fn next_outgoing(&self, cx: &Context, large: bool) -> Option<OutgoingMessage> {
        let queued = self.next_queued(large);
        queued.or_else(|| self.peer.next_outgoing(cx, *self.key.get()?, large))
    }

    fn next_queued(&self, large: bool) -> Option<OutgoingMessage> {
        let mut send_queue = self.lock_send_queue();
        if large {
            send_queue.pop_large()
        } else {
            send_queue.pop_small()
        }
    }

    /// VM of the peer.
    pub(crate) fn peer_vm(&self) -> &VmId {
        &self.peer.vm
    }

    /// Handles the peer's goodbye: from now on neither side writes new messages.
    pub(crate) fn handle_goodbye(&self) {
        self.close_gracefully();
        self.lock_liveness().record_goodbye();
        self.writer_notify.notify_one();
    }

    /// Records that the peer sent a message.
    pub(crate) fn record_use(&self) {
        self.lock_liveness().record_use();
    }

    /// Reserves a slot for handling one more message of the peer; `None` when all are in use.
    pub(crate) fn try_handler_slot(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.handler_slots).try_acquire_owned().ok()
    }

    async fn run(self: Arc<Self>, cx: Arc<Context>, key: ConnectionKey, socket: Socket) {
        let (sink, stream) = socket.split();
        let reader = Reader {
            cx: Arc::clone(&cx),
            connection: Arc::clone(&self),
            stream,
            assembler: MessageAssembler::default(),
        };
        let writer = Writer {
            cx: &cx,
            connection: &self,
            sink,
        };
        let end_reason = tokio::select! {
            () = self.ended.cancelled() => self.end_reason.get().cloned().unwrap_or(EndReason::Closed),
            () = cx.closed.cancelled() => EndReason::Closed,
            reason = reader.run() => reason,
            reason = writer.run() => reason,
            reason = self.heartbeat(&cx) => reason,
        };
        if matches!(end_reason, EndReason::Silent) {
            cx.counters.increment(Counter::Silent);
        }
        self.terminate(end_reason.clone());
        self.answer_notify.notify_waiters();
        self.peer.remove_connection(key, &end_reason);
    }

    async fn heartbeat(&self, cx: &Context) -> EndReason {
        loop {
            let action = self.lock_liveness().next_action(&cx.timings);
            match action {
                HeartbeatAction::Ping => {
                    cx.counters.increment(Counter::Pings);
                    self.queue_frame(FrameKind::Ping, 0);
                }
                HeartbeatAction::Silent => return EndReason::Silent,
                HeartbeatAction::DrainExpired => return EndReason::Closed,
                HeartbeatAction::Idle => {
                    cx.counters.increment(Counter::Idle);
                    self.close_gracefully();
                }
                HeartbeatAction::Wait(until) => tokio::select! {
                    () = sleep_until(until) => {}
                    () = self.heartbeat_notify.notified() => {}
                },
            }
        }
    }

    /// Whether a closing connection has no work left. A handler queues its answer before it frees its slot,
    /// so the queue is checked after the slots.
    pub(crate) fn is_drained(&self, cx: &Context) -> bool {
        let closed_by_both = {
            let liveness = self.lock_liveness();
            liveness.is_closing()
                && liveness.pending_requests() == 0
                && liveness.is_goodbye_received()
        };
        let all_slots_free = self.handler_slots.available_permits() == cx.limits.max_handlers;
        closed_by_both && all_slots_free && self.lock_send_queue().is_empty()
    }

    /// The error for a response frame that carries no answer.
    pub(crate) fn error_for(&self, kind: FrameKind) -> Error {
        let peer = self.peer.vm.clone();
        match kind {
            FrameKind::NoAnswer => Error::NoAnswer { peer },
            FrameKind::NotUnderstood => Error::NotUnderstood { peer },
            FrameKind::Busy => Error::Busy { peer },
            _ => Error::Decode {
                peer,
                reason: "byte limit reached while receiving the answer".to_owned(),
            },
        }
    }

    /// Records a pong or an answer.
    pub(crate) fn record_answer(&self) {
        self.lock_liveness().record_answer();
        self.answer_notify.notify_waiters();
        self.writer_notify.notify_one();
    }

    /// Records an answer and completes its request.
    pub(crate) fn complete_request(&self, id: u64, answer: Result<Bytes, Error>) {
        self.record_answer();
        self.peer.complete_request(id, answer);
    }

    /// Queues the answer to a request.
    pub(crate) fn queue_answer(&self, cx: &Context, id: u64, outcome: HandleOutcome) {
        let message = match outcome {
            HandleOutcome::NoAnswer => OutgoingMessage::new(FrameKind::NoAnswer, id),
            HandleOutcome::NotUnderstood => OutgoingMessage::new(FrameKind::NotUnderstood, id),
            HandleOutcome::Answer(kind, body) => match cx.reserve_outgoing(body.len()) {
                Some(permit) if body.len() <= cx.limits.max_message_bytes => OutgoingMessage {
                    kind: FrameKind::Reply,
                    id,
                    body,
                    message_kind: Some(kind),
                    permit: Some(permit),
                },
                _ => {
                    cx.counters.increment(Counter::Dropped);
                    OutgoingMessage::new(FrameKind::NoAnswer, id)
                }
            },
        };
        self.queue(message, cx.limits.chunk_bytes);
    }
}

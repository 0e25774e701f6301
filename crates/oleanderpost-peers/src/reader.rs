//! [`Reader`]: reads and handles the frames of one connection.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{StreamExt, stream::SplitStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio_tungstenite::tungstenite::Message;

use crate::{
    connection::Connection,
    context::Context,
    end_reason::EndReason,
    frame::{Frame, FrameKind, decode},
    handshake::Socket,
    link_counters::Counter,
    message_assembler::MessageAssembler,
    writer::websocket_len,
};

/// An encoded message and its byte reservation.
type ReceivedMessage = (Bytes, Option<OwnedSemaphorePermit>);

/// The reading half of a connection.
pub(crate) struct Reader {
    pub(crate) cx: Arc<Context>,
    pub(crate) connection: Arc<Connection>,
    pub(crate) stream: SplitStream<Socket>,
    pub(crate) assembler: MessageAssembler,
}

impl Reader {
    /// Reads until the connection closes or fails.
    pub(crate) async fn run(mut self) -> EndReason {
        while let Some(item) = self.stream.next().await {
            let data = match item {
                Ok(Message::Binary(data)) => data,
                Ok(Message::Close(_)) => break,
                Ok(_) => continue,
                Err(e) => return EndReason::Broken(format!("read: {e}")),
            };
            self.cx.counters.increment(Counter::FramesIn);
            self.cx
                .counters
                .add(Counter::BytesIn, websocket_len(data.len()));
            let Ok(frame) = decode::<Frame>(&data) else {
                return EndReason::Broken("read: not a frame".to_owned());
            };
            if let Err(reason) = self.handle_frame(frame) {
                return reason;
            }
        }
        if self.connection.is_ending() {
            return EndReason::Closed;
        }
        EndReason::Broken("peer closed the connection".to_owned())
    }

    fn handle_frame(&mut self, frame: Frame) -> Result<(), EndReason> {
        if frame.kind == FrameKind::Part || frame.is_last_chunk {
            self.connection.record_use();
            let limit = self.cx.limits.max_message_bytes;
            let pushed = self
                .assembler
                .push(&frame.body, limit, &self.cx.incoming_bytes);
            pushed
                .map_err(|_| EndReason::Broken("read: message over the size limit".to_owned()))?;
        }
        let message = if frame.is_last_chunk {
            self.assembler.finish()
        } else if matches!(frame.kind, FrameKind::Request | FrameKind::Send) {
            self.reserve(frame.body)
        } else {
            Some((frame.body, None))
        };
        let connection = &self.connection;
        match frame.kind {
            FrameKind::Request | FrameKind::Send => self.dispatch(frame.kind, frame.id, message),
            FrameKind::Reply => {
                let body = message.map(|(body, _)| body);
                let answer = body.ok_or_else(|| connection.error_for(FrameKind::Reply));
                connection.complete_request(frame.id, answer);
            }
            FrameKind::NoAnswer | FrameKind::NotUnderstood | FrameKind::Busy => {
                connection.complete_request(frame.id, Err(connection.error_for(frame.kind)));
            }
            FrameKind::Ping => connection.queue_frame(FrameKind::Pong, frame.id),
            FrameKind::Pong => connection.record_answer(),
            FrameKind::Goodbye => connection.handle_goodbye(),
            FrameKind::Part | FrameKind::Unknown(_) => {}
        }
        Ok(())
    }

    /// Reserves the bytes of a message until it has been handled; `None` if too few are free.
    fn reserve(&self, body: Bytes) -> Option<ReceivedMessage> {
        let permits = u32::try_from(body.len()).ok()?;
        let budget = Arc::clone(&self.cx.incoming_bytes);
        let permit = budget.try_acquire_many_owned(permits).ok()?;
        Some((body, Some(permit)))
    }

    /// Passes a message to the handler, or refuses it when a limit is reached.
    fn dispatch(&self, kind: FrameKind, id: u64, message: Option<ReceivedMessage>) {
        self.connection.record_use();
        let slot = self.connection.try_handler_slot();
        let (Some((body, reservation)), Some(slot)) = (message, slot) else {
            self.cx.counters.increment(Counter::Dropped);
            if kind == FrameKind::Request {
                self.connection.queue_frame(FrameKind::Busy, id);
            }
            return;
        };
        let (connection, cx) = (Arc::clone(&self.connection), Arc::clone(&self.cx));
        self.cx.tasks.spawn(async move {
            let outcome = tokio::select! {
                outcome = cx.handler.handle_encoded(connection.peer_vm(), body) => outcome,
                () = cx.closed.cancelled() => return,
            };
            drop(reservation);
            if kind == FrameKind::Request {
                connection.queue_answer(&cx, id, outcome);
            }
            drop(slot);
            connection.writer_notify.notify_one();
        });
    }
}

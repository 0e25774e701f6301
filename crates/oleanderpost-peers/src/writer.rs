//! [`Writer`]: writes the queued messages to one connection.

use futures_util::{SinkExt, stream::SplitSink};
use tokio_tungstenite::tungstenite::{Error, Message};

use crate::{
    connection::Connection,
    context::Context,
    end_reason::EndReason,
    frame::{Frame, FrameKind, encode},
    handshake::Socket,
    link_counters::Counter,
    send_queue::OutgoingMessage,
};

/// Maximum number of small messages written before the next chunk of a large one.
const MAX_SMALL_PER_CHUNK: usize = 16;

/// A large message and the offset of its next chunk.
struct PartlySent {
    message: OutgoingMessage,
    offset: usize,
}

/// The writing half of a connection.
pub(crate) struct Writer<'a> {
    pub(crate) cx: &'a Context,
    pub(crate) connection: &'a Connection,
    pub(crate) sink: SplitSink<Socket, Message>,
}

impl Writer<'_> {
    /// Writes until the connection is drained or fails.
    pub(crate) async fn run(mut self) -> EndReason {
        match self.write_all().await {
            Ok(()) => EndReason::Closed,
            Err(e) => EndReason::Broken(format!("write: {e}")),
        }
    }

    async fn write_all(&mut self) -> Result<(), Error> {
        let mut large = None;
        loop {
            let written = self.write_small().await?;
            large = large.or_else(|| self.next_large());
            if let Some(partly_sent) = large.take() {
                large = self.write_chunk(partly_sent).await?;
                self.sink.flush().await?;
                continue;
            }
            if written == MAX_SMALL_PER_CHUNK {
                continue;
            }
            self.sink.flush().await?;
            if self.connection.is_drained(self.cx) {
                return self.close().await;
            }
            self.connection.writer_notify.notified().await;
        }
    }

    /// Closes the writing side and waits. The reader ends the connection when the peer has closed too:
    /// closing the socket with unread bytes would reset the connection and lose data in transit to the peer.
    async fn close(&mut self) -> Result<(), Error> {
        self.sink.close().await?;
        std::future::pending().await
    }

    /// Writes up to [`MAX_SMALL_PER_CHUNK`] small messages; returns how many.
    async fn write_small(&mut self) -> Result<usize, Error> {
        let mut written = 0;
        while written < MAX_SMALL_PER_CHUNK
            && let Some(message) = self.connection.next_outgoing(self.cx, false)
        {
            self.count_sent(&message);
            self.write_frame(&message.into_frame()).await?;
            written += 1;
        }
        Ok(written)
    }

    fn next_large(&self) -> Option<PartlySent> {
        let message = self.connection.next_outgoing(self.cx, true)?;
        Some(PartlySent { message, offset: 0 })
    }

    /// Writes the next chunk; returns the message if chunks remain.
    async fn write_chunk(&mut self, large: PartlySent) -> Result<Option<PartlySent>, Error> {
        let PartlySent { message, offset } = large;
        let end = message.body.len().min(offset + self.cx.limits.chunk_bytes);
        let body = message.body.slice(offset..end);
        if end < message.body.len() {
            self.write_frame(&Frame::with_body(FrameKind::Part, 0, body))
                .await?;
            return Ok(Some(PartlySent {
                message,
                offset: end,
            }));
        }
        let mut last_frame = Frame::with_body(message.kind, message.id, body);
        last_frame.is_last_chunk = true;
        self.count_sent(&message);
        self.write_frame(&last_frame).await?;
        Ok(None)
    }

    async fn write_frame(&mut self, frame: &Frame) -> Result<(), Error> {
        let buf = encode(frame).expect("frames always encode");
        self.cx.counters.increment(Counter::FramesOut);
        self.cx
            .counters
            .add(Counter::BytesOut, websocket_len(buf.len()));
        self.sink.feed(Message::Binary(buf)).await
    }

    fn count_sent(&self, message: &OutgoingMessage) {
        if let Some(kind) = message.message_kind {
            self.cx.counters.record_sent(kind, message.body.len());
        }
    }
}

/// Length of a WebSocket message with its header, without the masking key of the dialling side.
pub(crate) fn websocket_len(len: usize) -> u64 {
    let header = match len {
        0..=125 => 2,
        126..=65_535 => 4,
        _ => 10,
    };
    (len + header) as u64
}

//! [`SendQueue`]: queue of encoded messages to be written.

use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;

use crate::frame::{Frame, FrameKind};

/// An encoded message.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    pub(crate) kind: FrameKind,
    pub(crate) id: u64,
    pub(crate) body: Bytes,
    /// Kind by which the message is counted; `None` for control frames.
    pub(crate) message_kind: Option<&'static str>,
    /// Reserved part of the bytes that may be queued; released when the message is written or dropped.
    pub(crate) permit: Option<OwnedSemaphorePermit>,
}

impl OutgoingMessage {
    /// A frame without a body, such as a ping.
    pub(crate) fn new(kind: FrameKind, id: u64) -> Self {
        Self {
            kind,
            id,
            body: Bytes::new(),
            message_kind: None,
            permit: None,
        }
    }

    pub(crate) fn into_frame(self) -> Frame {
        drop(self.permit);
        Frame::with_body(self.kind, self.id, self.body)
    }
}

/// Two queues: small messages, and large messages, which are sent in chunks with lower priority.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    small: VecDeque<OutgoingMessage>,
    large: VecDeque<OutgoingMessage>,
}

impl SendQueue {
    pub(crate) fn push(&mut self, message: OutgoingMessage, chunk_bytes: usize) {
        if message.body.len() > chunk_bytes {
            self.large.push_back(message);
        } else {
            self.small.push_back(message);
        }
    }

    /// Queues a frame after all large messages that are queued or being sent.
    pub(crate) fn push_last(&mut self, message: OutgoingMessage) {
        self.large.push_back(message);
    }

    pub(crate) fn len(&self) -> usize {
        self.small.len() + self.large.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub(crate) fn pop_small(&mut self) -> Option<OutgoingMessage> {
        self.small.pop_front()
    }

    pub(crate) fn pop_large(&mut self) -> Option<OutgoingMessage> {
        self.large.pop_front()
    }

    /// Removes the request with this id if it is still queued.
    pub(crate) fn remove(&mut self, id: u64) {
        self.small.retain(|message| message.id != id);
        self.large.retain(|message| message.id != id);
    }

    /// Removes and returns all messages.
    pub(crate) fn drain(&mut self) -> Vec<OutgoingMessage> {
        self.small.drain(..).chain(self.large.drain(..)).collect()
    }
}

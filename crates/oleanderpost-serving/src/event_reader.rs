//! [`EventReader`].

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    AttemptError, Event, EventSplitter, OutOfMemory, RunStatus, UpstreamId, WorkEnd,
    body_reader::MIN_PIECE_BYTES, memory_allocation::MemoryAllocation,
};

/// Largest size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Next item of an event stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamItem {
    /// A complete event.
    Event(Event),
    /// The stream ended after a complete event.
    End,
}

/// Error while reading the next event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EventError {
    /// No event arrived within the time limit; one may still arrive.
    #[error("no event within the time limit")]
    TimedOut,
    /// An engine that holds part of the prompt no longer responds.
    #[error("an engine that holds part of the prompt no longer responds")]
    EngineLost,
    /// An event is longer than any of a working engine.
    #[error("event exceeds the size limit")]
    TooLarge,
    /// The node has no memory for the event.
    #[error(transparent)]
    OutOfMemory(#[from] OutOfMemory),
    /// The connection failed, or ended inside an event.
    #[error("{0}")]
    Disconnected(String),
}

impl EventError {
    /// The error of an attempt at `upstream` that failed for this reason.
    pub(crate) fn into_attempt_error(
        self,
        step: &'static str,
        upstream: &UpstreamId,
    ) -> AttemptError {
        match self {
            Self::Disconnected(_) => AttemptError::new_disconnected(step, upstream, self),
            _ => AttemptError::new(step, upstream, RunStatus::MayHaveRun, self),
        }
    }

    /// How the scheduler is to count the request.
    pub(crate) fn work_end(&self) -> WorkEnd {
        match self {
            Self::Disconnected(_) => WorkEnd::Disconnected,
            Self::TimedOut | Self::EngineLost | Self::TooLarge | Self::OutOfMemory(_) => {
                WorkEnd::Failed
            }
        }
    }
}

/// Reads complete events from the body of a response.
pub(crate) struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
    /// Comments and empty lines since the last event; they are forwarded with the next one.
    comments: Vec<u8>,
    /// Bytes received since the last event. Small pieces count for more than they have, like those of other bodies.
    bytes_since_event: usize,
    /// Memory of the incomplete event and the comments.
    allocation: MemoryAllocation<UpstreamId>,
}

impl EventReader {
    pub(crate) fn new(body: Incoming, allocation: MemoryAllocation<UpstreamId>) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
            comments: Vec::new(),
            bytes_since_event: 0,
            allocation,
        }
    }

    /// Reads the next complete event within `limit`. After [`EventError::TimedOut`], the next call continues
    /// where this one stopped.
    pub(crate) async fn next_event(&mut self, limit: Duration) -> Result<StreamItem, EventError> {
        let revoked = self.allocation.revocation();
        tokio::select! {
            biased;
            () = revoked.cancelled() => Err(OutOfMemory.into()),
            next = timeout(limit, self.read_event()) => next.map_err(|_| EventError::TimedOut)?,
        }
    }

    async fn read_event(&mut self) -> Result<StreamItem, EventError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                // An engine that sends only comments is stalled.
                if event.has_field() {
                    self.bytes_since_event = 0;
                    let bytes = self.with_comments(event.bytes);
                    return Ok(StreamItem::Event(Event { bytes, ..event }));
                }
                self.comments.extend_from_slice(&event.bytes);
                continue;
            }
            if self.bytes_since_event > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            let memory = self.splitter.capacity() + self.comments.capacity();
            self.allocation.resize(memory)?;
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.bytes_since_event += bytes.len().max(MIN_PIECE_BYTES);
                        self.splitter.push(&bytes);
                    }
                }
                Some(Err(e)) => return Err(EventError::Disconnected(e.to_string())),
                None if self.splitter.buffered_len() > 0 => {
                    let cause = "stream ended in the middle of an event";
                    return Err(EventError::Disconnected(cause.to_owned()));
                }
                None if !self.comments.is_empty() => {
                    let bytes = self.with_comments(Bytes::new());
                    return Ok(StreamItem::Event(Event { id: None, bytes }));
                }
                None => return Ok(StreamItem::End),
            }
        }
    }

    fn with_comments(&mut self, event: Bytes) -> Bytes {
        if self.comments.is_empty() {
            return event;
        }
        let mut bytes = std::mem::take(&mut self.comments);
        bytes.extend_from_slice(&event);
        Bytes::from(bytes)
    }
}

//! [`EventReader`].

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{Event, EventSplitter};

/// Most bytes of one event.
const EVENT_LIMIT: usize = 1 << 20;

/// What comes next in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NextEvent {
    /// A whole event.
    Event(Event),
    /// The stream ended behind a whole event.
    End,
}

/// Why there is no next event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EventError {
    /// None came in time; one may still come.
    #[error("no event in time")]
    Silent,
    /// An engine that holds part of the prompt no longer answers.
    #[error("an engine of the group is lost")]
    GroupLost,
    /// The stream broke off.
    #[error("{0}")]
    Broken(String),
}

/// Reads whole events from the body of an answer.
pub(crate) struct EventReader {
    body: Incoming,
    splitter: EventSplitter,
}

impl EventReader {
    pub(crate) fn new(body: Incoming) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
        }
    }

    /// The next whole event, within `limit`. Without one nothing is lost: the next call goes on.
    pub(crate) async fn next(&mut self, limit: Duration) -> Result<NextEvent, EventError> {
        let next = timeout(limit, self.read()).await;
        next.map_err(|_| EventError::Silent)?
            .map_err(EventError::Broken)
    }

    async fn read(&mut self) -> Result<NextEvent, String> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(NextEvent::Event(event));
            }
            if self.splitter.buffered_len() > EVENT_LIMIT {
                return Err("an event is too large".to_owned());
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.splitter.push(&bytes);
                    }
                }
                Some(Err(e)) => return Err(e.to_string()),
                None if self.splitter.buffered_len() > 0 => {
                    return Err("the stream ended within an event".to_owned());
                }
                None => return Ok(NextEvent::End),
            }
        }
    }
}

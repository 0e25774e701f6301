//! [`EventStream`].

use std::sync::Arc;

use futures_util::{Stream, stream};
use tokio::sync::watch;

use oleanderpost_types::StreamEvent;

use crate::{
    GeneratedText,
    shared::Shared,
    stream_entry::{Progress, StreamEnd},
    streams::StreamId,
};

/// A reader of a stream. The resume window of a stream starts when its last reader is dropped.
#[derive(Debug)]
pub struct EventStream {
    rx: watch::Receiver<Progress>,
    generated_text: GeneratedText,
    offset: u64,
    ended: bool,
    _reader: ReaderGuard,
}

impl EventStream {
    pub(crate) fn new(
        rx: watch::Receiver<Progress>,
        generated_text: GeneratedText,
        offset: u64,
        reader: ReaderGuard,
    ) -> Self {
        Self {
            rx,
            generated_text,
            offset,
            ended: false,
            _reader: reader,
        }
    }

    /// Returns the next event; `None` after `end` or `error`, and if the engine died.
    pub async fn next(&mut self) -> Option<StreamEvent> {
        if self.ended {
            return None;
        }
        let offset = self.offset;
        let has_update = |p: &Progress| p.generated > offset || p.end.is_some();
        let progress = self.rx.wait_for(has_update).await.ok()?.clone();
        if progress.generated > offset {
            return Some(self.token_event(progress.generated));
        }
        self.ended = true;
        match progress.end? {
            StreamEnd::Complete(finish_reason) => Some(StreamEvent::End {
                tokens: progress.generated,
                finish_reason,
            }),
            StreamEnd::Failed(problem) => Some(StreamEvent::Error(problem)),
            StreamEnd::Disconnected => None,
        }
    }

    /// Converts the reader to a [`Stream`] of events.
    pub fn into_stream(self) -> impl Stream<Item = StreamEvent> + Send {
        stream::unfold(self, |mut events| async {
            let event = events.next().await?;
            Some((event, events))
        })
    }

    fn token_event(&mut self, end: u64) -> StreamEvent {
        let offset = std::mem::replace(&mut self.offset, end);
        StreamEvent::Token {
            offset,
            count: end - offset,
            text: self.generated_text.text(offset, end),
        }
    }
}

/// Keeps a reader counted in its stream; dropping the guard removes the reader.
#[derive(Debug)]
pub(crate) struct ReaderGuard {
    shared: Arc<Shared>,
    id: StreamId,
}

impl ReaderGuard {
    pub(crate) fn new(shared: Arc<Shared>, id: StreamId) -> Self {
        Self { shared, id }
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.shared.remove_reader(self.id);
    }
}

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

/// One reader of a stream. While a stream has no reader, its resume window runs.
#[derive(Debug)]
pub struct EventStream {
    rx: watch::Receiver<Progress>,
    sample: GeneratedText,
    offset: u64,
    done: bool,
    _reader: Reader,
}

impl EventStream {
    pub(crate) fn new(
        rx: watch::Receiver<Progress>,
        sample: GeneratedText,
        offset: u64,
        reader: Reader,
    ) -> Self {
        Self {
            rx,
            sample,
            offset,
            done: false,
            _reader: reader,
        }
    }

    /// The next event; `None` after `end` or `error`, and when the engine died.
    pub async fn next(&mut self) -> Option<StreamEvent> {
        if self.done {
            return None;
        }
        let offset = self.offset;
        let news = |p: &Progress| p.generated > offset || p.end.is_some();
        let progress = self.rx.wait_for(news).await.ok()?.clone();
        if progress.generated > offset {
            return Some(self.tokens(progress.generated));
        }
        self.done = true;
        match progress.end? {
            StreamEnd::Whole(finish_reason) => Some(StreamEvent::End {
                tokens: progress.generated,
                finish_reason,
            }),
            StreamEnd::Broken(problem) => Some(StreamEvent::Error(problem)),
            StreamEnd::Lost => None,
        }
    }

    /// The events as a stream.
    pub fn into_stream(self) -> impl Stream<Item = StreamEvent> + Send {
        stream::unfold(self, |mut events| async {
            let event = events.next().await?;
            Some((event, events))
        })
    }

    fn tokens(&mut self, upto: u64) -> StreamEvent {
        let offset = std::mem::replace(&mut self.offset, upto);
        StreamEvent::Token {
            offset,
            count: upto - offset,
            text: self.sample.text(offset, upto),
        }
    }
}

/// Counts a reader of a stream while it lives.
#[derive(Debug)]
pub(crate) struct Reader {
    shared: Arc<Shared>,
    id: StreamId,
}

impl Reader {
    pub(crate) fn new(shared: Arc<Shared>, id: StreamId) -> Self {
        Self { shared, id }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.shared.reader_left(self.id);
    }
}

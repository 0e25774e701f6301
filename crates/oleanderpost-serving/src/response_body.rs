//! [`ResponseBody`].

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The response ended before it was complete.
///
/// Returned as a body error so that hyper closes the connection without marking the body as complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response was aborted")]
pub struct ResponseAborted;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body; `None` once it has been sent.
    Complete(Option<Bytes>),
    /// Chunks that arrive over a channel. The body is complete only if the last message is `Ok(None)`; a
    /// closed channel without it aborts the response.
    Streamed(mpsc::Receiver<Result<Option<Bytes>, ResponseAborted>>),
}

impl ResponseBody {
    /// A complete body.
    #[must_use]
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(
                bytes
                    .take()
                    .filter(|b| !b.is_empty())
                    .map(|b| Ok(Frame::data(b))),
            ),
            Self::Streamed(rx) => rx.poll_recv(cx).map(|chunk| match chunk {
                Some(Ok(Some(bytes))) => Some(Ok(Frame::data(bytes))),
                Some(Ok(None)) => None,
                Some(Err(e)) => Some(Err(e)),
                None => Some(Err(ResponseAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

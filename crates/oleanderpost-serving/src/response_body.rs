//! [`ResponseBody`].

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off; its connection must not end as if it were complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct ResponseAborted;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come. It is complete only if the last message is `Ok(None)`.
    Parts(mpsc::Receiver<Result<Option<Bytes>, ResponseAborted>>),
}

impl ResponseBody {
    /// A body that is known.
    #[must_use]
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
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
            Self::Whole(bytes) => Poll::Ready(
                bytes
                    .take()
                    .filter(|b| !b.is_empty())
                    .map(|b| Ok(Frame::data(b))),
            ),
            Self::Parts(rx) => rx.poll_recv(cx).map(|part| match part {
                Some(Ok(Some(bytes))) => Some(Ok(Frame::data(bytes))),
                Some(Ok(None)) => None,
                Some(Err(e)) => Some(Err(e)),
                None => Some(Err(ResponseAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

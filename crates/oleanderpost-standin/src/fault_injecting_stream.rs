//! [`FaultInjectingStream`].

use std::{
    io::{Error, ErrorKind, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::fault_injector::ConnectionFaults;

/// Size of the buffer for data discarded on a silent connection, in bytes.
const DISCARD_BUF_LEN: usize = 4096;

/// A connection that can be reset or silenced.
///
/// A silent connection accepts writes and discards them, and yields no received data. This models a
/// middlebox between the two ends that has lost the connection's state.
#[derive(Debug)]
pub(crate) struct FaultInjectingStream<S> {
    inner: S,
    faults: ConnectionFaults,
    reset: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> FaultInjectingStream<S> {
    pub(crate) fn new(inner: S, faults: ConnectionFaults) -> Self {
        let reset = Box::pin(faults.reset_token().cancelled_owned());
        Self {
            inner,
            faults,
            reset,
        }
    }

    fn check_reset(&mut self, cx: &mut Context<'_>) -> Result<()> {
        match self.reset.as_mut().poll(cx) {
            Poll::Ready(()) => Err(Error::from(ErrorKind::ConnectionReset)),
            Poll::Pending => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> FaultInjectingStream<S> {
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let mut scratch = [0; DISCARD_BUF_LEN];
        loop {
            let mut buf = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FaultInjectingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.check_reset(cx)?;
        if self.faults.is_silent() {
            return self.poll_discard(cx);
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if self.faults.is_silent() && buf.filled().len() > before {
            buf.set_filled(before);
            return self.poll_discard(cx);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FaultInjectingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.check_reset(cx)?;
        if self.faults.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.faults.is_silent() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

//! [`FaultInjectingStream`].

use std::{
    io::{Error, ErrorKind, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::fault_injector::ConnectionFaults;

/// Size of the buffer into which a silent connection's bytes vanish.
const SINK_LEN: usize = 4096;

/// A connection that can be cut or go silent.
///
/// A silent connection takes what is written and reads nothing, as if something between its
/// two ends had lost track of it.
#[derive(Debug)]
pub(crate) struct FaultInjectingStream<S> {
    inner: S,
    gate: ConnectionFaults,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<S> FaultInjectingStream<S> {
    pub(crate) fn new(inner: S, gate: ConnectionFaults) -> Self {
        let cut = Box::pin(gate.cut().cancelled_owned());
        Self { inner, gate, cut }
    }

    fn check(&mut self, cx: &mut Context<'_>) -> Result<()> {
        match self.cut.as_mut().poll(cx) {
            Poll::Ready(()) => Err(Error::from(ErrorKind::ConnectionReset)),
            Poll::Pending => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> FaultInjectingStream<S> {
    fn poll_sink(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let mut sink = [0; SINK_LEN];
        loop {
            let mut buf = ReadBuf::new(&mut sink);
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
        self.check(cx)?;
        if self.gate.is_silent() {
            return self.poll_sink(cx);
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if self.gate.is_silent() && buf.filled().len() > before {
            buf.set_filled(before);
            return self.poll_sink(cx);
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
        self.check(cx)?;
        if self.gate.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.gate.is_silent() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

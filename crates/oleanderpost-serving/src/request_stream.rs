//! [`RequestStream`].

use std::{
    io::{Error, ErrorKind, IoSlice, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Connection on which the node sends requests.
///
/// A peer that closes it while a request is still being sent resets it. The operating system reports a reset once, to the
/// read or the write that comes first, and an end of the data from then on. An answer without a length would
/// look whole, so that an end of the data before the request is sent, or after a failed write, is an error here.
#[derive(Debug)]
pub(crate) struct RequestStream {
    stream: TcpStream,
    /// Whether the operating system has not accepted all data so far, or has refused some.
    is_unsent: bool,
}

impl RequestStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            is_unsent: false,
        }
    }

    fn note_written(
        &mut self,
        written: Poll<Result<usize>>,
        requested: usize,
    ) -> Poll<Result<usize>> {
        self.is_unsent = !matches!(written, Poll::Ready(Ok(n)) if n == requested);
        written
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let is_end = buf.filled().len() == filled && buf.remaining() > 0;
        if is_end && self.is_unsent {
            let cause = "connection closed while the request was being sent";
            return Poll::Ready(Err(Error::new(ErrorKind::ConnectionReset, cause)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_written(written, buf.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let requested = bufs.iter().map(|buf| buf.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(written, requested)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

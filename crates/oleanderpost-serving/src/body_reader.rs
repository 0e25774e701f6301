//! Reads bodies of responses, which may be of any length and in pieces of any size.

use std::{convert::Infallible, hash::Hash, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use crate::{memory_budget::OutOfMemory, metered_buf::MeteredBuf};

/// Bytes that a piece of a body counts for at least. Very small pieces cost processor time, as a sender without fault does
/// not.
pub(crate) const MIN_PIECE_BYTES: usize = 64;

/// Error while reading a body.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum BodyError {
    /// The body did not end within the time limit.
    #[error("timed out while reading the response body")]
    TimedOut,
    /// The body is too large, or consists of too many pieces.
    #[error("the response body exceeds the size limit")]
    TooLarge,
    /// The node has no memory for the body.
    #[error(transparent)]
    OutOfMemory(#[from] OutOfMemory),
    /// The connection failed, or the body is malformed.
    #[error("{0}")]
    Disconnected(String),
}

impl From<Infallible> for BodyError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Reads a body of up to `max_bytes` bytes.
///
/// # Errors
///
/// [`BodyError::TooLarge`] or [`BodyError::Disconnected`].
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
{
    let mut buf = Vec::new();
    let read = read_pieces(body, max_bytes, |piece| {
        buf.extend_from_slice(piece);
        Ok::<_, Infallible>(())
    });
    read.await?;
    Ok(Bytes::from(buf))
}

/// Reads a body of up to `max_bytes` bytes without keeping it, so that its connection can be used again.
///
/// # Errors
///
/// [`BodyError::TooLarge`] or [`BodyError::Disconnected`].
pub async fn discard_body<B>(body: B, max_bytes: usize) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
{
    read_pieces(body, max_bytes, |_| Ok::<_, Infallible>(())).await
}

/// Reads a body of up to `max_bytes` bytes within `limit`, and within the memory budget of `buf`.
pub(crate) async fn read_metered<B, S>(
    body: B,
    buf: MeteredBuf<S>,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
    S: Clone + Eq + Hash + Send + 'static,
{
    let mut buf = buf.with_stated_len(body.size_hint().exact());
    let revoked = buf.revocation();
    let read = read_pieces(body, max_bytes, |piece| buf.push(piece));
    let read = tokio::select! {
        read = timeout(limit, read) => read.map_err(|_| BodyError::TimedOut)?,
        () = revoked.cancelled() => Err(OutOfMemory.into()),
    };
    read?;
    Ok(buf.freeze()?)
}

/// Passes each piece of a body to `push`.
async fn read_pieces<B, E>(
    mut body: B,
    max_bytes: usize,
    mut push: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error: std::fmt::Display> + Unpin,
    BodyError: From<E>,
{
    // A stated length shows it before the first byte.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut counted_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Disconnected(e.to_string()))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        counted_bytes += piece.len().max(MIN_PIECE_BYTES);
        if counted_bytes > max_bytes {
            return Err(BodyError::TooLarge);
        }
        push(&piece)?;
    }
    Ok(())
}

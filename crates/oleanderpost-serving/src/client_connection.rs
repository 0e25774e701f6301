//! Connections on which the node sends requests.

use bytes::Bytes;
use http::StatusCode;
use hyper::{
    body::Body,
    client::conn::http1::{Builder, Connection, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::request_stream::RequestStream;

/// Size of the read buffer of a connection, in bytes; a longer head of a response is an error. Usual limits of servers
/// are 8 to 16 KiB.
pub(crate) const READ_BUFFER_BYTES: usize = 16 << 10;

/// Prepares a connection for requests. The returned connection must be polled.
///
/// # Errors
///
/// Error if the connection has failed.
pub async fn handshake<B>(
    stream: TcpStream,
) -> hyper::Result<(SendRequest<B>, Connection<TokioIo<RequestStream>, B>)>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(RequestStream::new(stream)))
        .await
}

/// Whether a response with this status code answers a request. Codes out of range count as a server error (RFC 9110, section
/// 15), and the node never sends the requests for another protocol to which 101 is the response.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

//! [`ClientConnection`].

use bytes::Bytes;
use http::StatusCode;
use hyper::{
    body::Body,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::request_stream::RequestStream;

/// Size of the read buffer of a connection, in bytes; a longer head of a response is an error. Usual limits of servers
/// are 8 to 16 KiB.
pub(crate) const READ_BUFFER_BYTES: usize = 16 << 10;

/// Connection on which the node sends requests. Dropping it closes the connection at once, so that a request that has not
/// been read keeps no memory.
#[derive(Debug)]
pub struct ClientConnection<B> {
    /// Sends requests and receives the heads of responses.
    pub sender: SendRequest<B>,
    _task: AbortOnDropHandle<()>,
}

impl<B> ClientConnection<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Prepares an open connection for requests.
    ///
    /// # Errors
    ///
    /// Error if the connection has failed.
    pub async fn new(stream: TcpStream) -> hyper::Result<Self> {
        let peer = stream.peer_addr().ok();
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(RequestStream::new(stream)))
            .await?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                let peer = peer.map_or_else(String::new, |peer| peer.to_string());
                spdlog::debug!("connection closed with an error", kv: { peer = peer.as_str(), error: = e });
            }
        });
        Ok(Self {
            sender,
            _task: AbortOnDropHandle::new(task),
        })
    }
}

/// Whether a response with this status code answers a request. Codes out of range count as a server error (RFC 9110, section
/// 15), and the node never sends the requests for another protocol to which 101 is the response.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

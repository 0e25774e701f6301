//! Opens a connection to a peer.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::{TcpSocket, TcpStream};
use tokio_tungstenite::{client_async_with_config, tungstenite::protocol::WebSocketConfig};

use crate::{
    LinkLimits, connection::Connection, context::Context, handshake, link_counters::Counter,
    peer::Peer,
};

/// Path of the link endpoint.
const LINK_PATH: &str = "link";
/// Maximum number of bytes that a frame adds to its chunk.
const FRAME_OVERHEAD: usize = 256;
/// Size of the read buffer and of the write buffer of one connection, in bytes.
const SOCKET_BUFFER: usize = 4 << 10;

/// The step at which opening failed, and the reason.
pub(crate) type DialError = (&'static str, String);

/// WebSocket limits: one frame carries at most one chunk.
pub(crate) fn socket_config(limits: &LinkLimits) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(SOCKET_BUFFER)
        .write_buffer_size(SOCKET_BUFFER)
        .max_write_buffer_size(4 * (limits.chunk_bytes + FRAME_OVERHEAD))
        .max_message_size(Some(limits.chunk_bytes + FRAME_OVERHEAD))
        .max_frame_size(Some(limits.chunk_bytes + FRAME_OVERHEAD))
}

/// Creates a TCP socket for the address family of `addr`, with the options of links.
pub(crate) fn new_socket(addr: SocketAddr, limits: &LinkLimits) -> std::io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_send_buffer_size(limits.send_buffer_bytes)?;
    socket.set_nodelay(true)?;
    Ok(socket)
}

async fn connect(addr: SocketAddr, limits: &LinkLimits) -> std::io::Result<TcpStream> {
    new_socket(addr, limits)?.connect(addr).await
}

/// Opens a connection to `peer`, runs the handshake and starts the connection's task.
pub(crate) async fn open(cx: &Arc<Context>, peer: &Arc<Peer>) -> Result<(), DialError> {
    let addr = cx.address_book.address(&peer.vm);
    let addr = addr.ok_or_else(|| ("address", "not in the address book".to_owned()))?;
    let stream = connect(addr, &cx.limits).await;
    let stream = stream.map_err(|e| ("connect", e.to_string()))?;
    let url = format!("ws://{addr}/{LINK_PATH}");
    let upgraded = client_async_with_config(url, stream, Some(socket_config(&cx.limits))).await;
    let (mut socket, _) = upgraded.map_err(|e| ("upgrade", e.to_string()))?;
    let handshake_result = handshake::dial(
        &mut socket,
        &cx.own_identity,
        &peer.vm,
        &cx.key,
        cx.new_nonce(),
    )
    .await;
    let identity = handshake_result.map_err(|refusal| {
        cx.counters.increment(Counter::Refused);
        ("handshake", refusal.description().to_owned())
    })?;
    if Connection::start(cx, peer, identity, socket) {
        return Ok(());
    }
    Err((
        "handshake",
        handshake::Refusal::OldIncarnation.description().to_owned(),
    ))
}

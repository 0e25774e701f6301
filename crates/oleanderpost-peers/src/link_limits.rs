//! [`LinkLimits`].

/// Limits on the memory and work of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Largest encoded message in bytes.
    pub max_message_bytes: usize,
    /// Messages of more than this many bytes are sent in chunks of this size, with lower priority than
    /// smaller messages.
    pub chunk_bytes: usize,
    /// Maximum number of messages queued for one peer.
    pub max_queued_messages: usize,
    /// Maximum number of bytes queued for all peers together. The same limit applies separately to the bytes
    /// of received messages.
    pub max_buffered_bytes: usize,
    /// Maximum number of bytes of messages of all peers together that are partly received or being handled, if less than
    /// [`max_buffered_bytes`](Self::max_buffered_bytes).
    pub max_received_bytes: usize,
    /// Maximum number of messages of one connection that are handled concurrently.
    pub max_handlers: usize,
    /// Maximum number of connections of one peer in use; when there are more, the oldest is closed gracefully.
    pub max_connections: usize,
    /// Maximum number of incoming connections whose handshake is in progress.
    pub max_handshakes: usize,
    /// Size of the operating system's send buffer for each connection, in bytes.
    pub send_buffer_bytes: u32,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self {
            max_message_bytes: 2 << 20,
            chunk_bytes: 16 << 10,
            max_queued_messages: 1_024,
            max_buffered_bytes: 16 << 20,
            max_received_bytes: 16 << 20,
            max_handlers: 256,
            max_connections: 4,
            max_handshakes: 64,
            send_buffer_bytes: 128 << 10,
        }
    }
}

//! [`MemoryLimits`].

/// Share of a node's memory for the bodies of requests.
const REQUEST_BODY_SHARE: f64 = 0.2;
/// Share for the responses of upstreams.
const RESPONSE_SHARE: f64 = 0.15;
/// Share for the buffers of connections.
const CONNECTION_SHARE: f64 = 0.3;
/// Share for messages of peers that are being received or handled.
const MESSAGE_SHARE: f64 = 0.05;

/// How the memory of a node is divided between what it receives. The rest is for the program itself, its state and the
/// answers of the discovery store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryLimits {
    /// Bytes for the bodies of requests, until these have ended.
    pub(crate) request_bodies: usize,
    /// Bytes for responses of upstreams, until they have been passed on.
    pub(crate) responses: usize,
    /// Bytes for the heads of requests and the buffers of connections.
    pub(crate) connections: usize,
    /// Bytes for messages of peers.
    pub(crate) messages: usize,
}

impl MemoryLimits {
    /// Divides `memory_mb` MiB.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let bytes = memory_mb as f64 * f64::from(1 << 20);
        let share = |share: f64| (bytes * share) as usize;
        Self {
            request_bodies: share(REQUEST_BODY_SHARE),
            responses: share(RESPONSE_SHARE),
            connections: share(CONNECTION_SHARE),
            messages: share(MESSAGE_SHARE),
        }
    }
}

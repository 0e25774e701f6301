//! HTTP header names of the interfaces to callers, engines and plain services.

/// Idempotency key of the caller, a UUID.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time limit of a request in milliseconds, counted from its arrival.
pub const TIME_LIMIT_MS: &str = "x-time-limit-ms";
/// Whether the request may be repeated: `true` or `false`.
pub const REPEATABLE: &str = "x-repeatable";
/// Request id, also written to the logs.
pub const REQUEST_ID: &str = "x-request-id";
/// Idempotency key sent to upstreams, a UUID.
pub const REQUEST_KEY: &str = "x-request-key";
/// Number of the attempt at a request, counted from zero.
pub const ATTEMPT: &str = "x-attempt";
/// Priority at the engine, 0 to 255.
pub const PRIORITY: &str = "x-priority";
/// VM that holds the stream or reservation.
pub const HOLDER: &str = "x-holder";
/// Reservation whose memory the request uses.
pub const RESERVATION: &str = "x-reservation";
/// Number of engines that serve the request together.
pub const GROUP_SIZE: &str = "x-group-size";

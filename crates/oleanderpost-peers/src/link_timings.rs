//! [`LinkTimings`].

use std::time::Duration;

/// Timeouts and intervals of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimings {
    /// Time limit for opening a connection, including the handshake.
    pub open_timeout: Duration,
    /// A ping is sent when a written message has been without an answer for this long.
    pub ping_after: Duration,
    /// Time limit for the answer to a ping, after which the connection is closed as silent.
    pub pong_timeout: Duration,
    /// A connection whose last answer is at least this old is pinged before it is used.
    pub verify_after: Duration,
    /// A connection without messages for this long is closed.
    pub idle_timeout: Duration,
    /// A closing connection without messages for this long is closed without waiting further.
    pub drain_timeout: Duration,
    /// Delay after the first failed attempt to open a connection; it doubles with each failure.
    pub backoff_min: Duration,
    /// Longest delay between two attempts to open a connection.
    pub backoff_max: Duration,
}

impl Default for LinkTimings {
    fn default() -> Self {
        Self {
            open_timeout: Duration::from_millis(1_000),
            ping_after: Duration::from_millis(500),
            pong_timeout: Duration::from_millis(500),
            verify_after: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(30),
            drain_timeout: Duration::from_secs(10),
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_secs(5),
        }
    }
}

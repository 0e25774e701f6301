//! [`RouteKind`].

use serde::{Deserialize, Serialize};

/// How often requests of a route may run, and whether responses are event streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests are idempotent and may run any number of times.
    Idempotent,
    /// Requests may run at most once.
    Once,
    /// The response is an event stream; requests may run at most once.
    OnceStream,
    /// The response is an event stream that another upstream can resume after the last complete event.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::OnceStream | Self::ResumableStream)
    }
}

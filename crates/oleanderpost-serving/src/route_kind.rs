//! [`RouteKind`].

use serde::{Deserialize, Serialize};

/// How often requests of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: may run any number of times.
    Idempotent,
    /// May run at most once.
    Once,
    /// Stream of events that runs at most once.
    OnceStream,
    /// Stream of events that may go on at another upstream behind its last whole event.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::OnceStream | Self::ResumableStream)
    }
}

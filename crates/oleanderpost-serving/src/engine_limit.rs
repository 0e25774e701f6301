//! [`EngineLimit`].

use crate::RequestRate;

/// Limit on the requests that a scheduler places on one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimit {
    /// Requests per second.
    pub rate: RequestRate,
    /// Time until the first request, as a share of the interval between two requests. Nodes that apply shares of one
    /// limit each draw their own, so that their first requests don't arrive together.
    pub phase: f64,
    /// Whether the engine is cold; other engines are preferred to it.
    pub cold: bool,
}

impl EngineLimit {
    /// Creates the limit of an engine that is not cold, with the longest time until the first request.
    #[must_use]
    pub fn new(rate: RequestRate) -> Self {
        Self {
            rate,
            phase: 1.0,
            cold: false,
        }
    }
}

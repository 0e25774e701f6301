//! [`LightDemand`].

use std::collections::VecDeque;

/// Span over which arrivals are counted, in milliseconds: short enough to follow a mix that turns over
/// within a second, long enough for some tens of arrivals.
const WINDOW_MS: f64 = 700.0;

/// Forecasts how many light requests will be in progress, from those that arrived lately.
///
/// The number in progress follows a burst only after the time that a request takes; arrivals show it at
/// once (Little's law).
#[derive(Debug, Default)]
pub(crate) struct LightDemand {
    arrivals: VecDeque<(f64, f64)>,
}

impl LightDemand {
    /// Notes a light request that will take `service_ms`.
    pub(crate) fn note_arrival(&mut self, now: f64, service_ms: f64) {
        self.arrivals.push_back((now, service_ms));
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now - at > WINDOW_MS)
        {
            self.arrivals.pop_front();
        }
    }

    /// Whether a light request arrived within `span_ms`.
    pub(crate) fn is_recent(&self, now: f64, span_ms: f64) -> bool {
        self.arrivals
            .back()
            .is_some_and(|(at, _)| now - at <= span_ms)
    }

    /// Requests in progress to which the present rate leads.
    pub(crate) fn forecast(&self, now: f64) -> f64 {
        let recent = self.arrivals.iter().filter(|(at, _)| now - at <= WINDOW_MS);
        recent.map(|(_, service_ms)| service_ms).sum::<f64>() / WINDOW_MS
    }
}

//! [`LightDemand`].

use std::collections::VecDeque;

/// Window over which arrivals are counted, in milliseconds: short enough to follow a mix that changes
/// within a second, long enough for some tens of arrivals.
const WINDOW_MS: f64 = 700.0;

/// Predicts the number of light requests in progress from recent arrivals.
///
/// The number in progress reacts to a burst only after the service time of a request, whereas the arrival
/// rate shows it at once (Little's law).
#[derive(Debug, Default)]
pub(crate) struct LightDemand {
    arrivals: VecDeque<(f64, f64)>,
}

impl LightDemand {
    /// Records a light request that is expected to take `service_ms`.
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

    /// Whether a light request arrived within the last `span_ms`.
    pub(crate) fn is_recent(&self, now: f64, span_ms: f64) -> bool {
        self.arrivals
            .back()
            .is_some_and(|(at, _)| now - at <= span_ms)
    }

    /// Number of requests in progress that results from the current arrival rate.
    pub(crate) fn forecast(&self, now: f64) -> f64 {
        let recent = self.arrivals.iter().filter(|(at, _)| now - at <= WINDOW_MS);
        recent.map(|(_, service_ms)| service_ms).sum::<f64>() / WINDOW_MS
    }
}

//! [`RetryTotals`].

use std::time::Duration;

/// What all nodes together may retry: `ratio` x requests + `slack` within `window`, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTotals {
    /// Retries per request.
    pub ratio: f64,
    /// Retries besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

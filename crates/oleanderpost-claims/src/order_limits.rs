//! [`OrderLimits`].

use std::time::Duration;

/// Limits on the orders that one node sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderLimits {
    /// Interval between two reads of an engine's state.
    pub period: Duration,
    /// Maximum age of the last confirmation of the configuration at which orders are still sent.
    pub max_plan_age: Duration,
    /// Timeout of a call to an engine.
    pub call_timeout: Duration,
    /// Maximum number of loads that this node has in progress at the same time.
    pub max_concurrent_loads: usize,
    /// Time after which a load no longer counts as in progress.
    pub load_timeout: Duration,
    /// Rate at which the engines of one service start to load, over the whole fleet.
    pub loads_per_second: f64,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(2),
            max_plan_age: Duration::from_secs(10),
            call_timeout: Duration::from_secs(1),
            max_concurrent_loads: 2,
            load_timeout: Duration::from_secs(300),
            loads_per_second: 5.0,
        }
    }
}

//! [`Settings`].

use std::time::Duration;

/// Periods, timeouts and limits of admission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Period of the background work.
    pub tick_period: Duration,
    /// Period at which the directory is read again.
    pub directory_refresh_period: Duration,
    /// Gap between two ticks above which the process counts as having been paused.
    pub pause_threshold: Duration,
    /// Period at which an entry node renews its permits.
    pub renew_period: Duration,
    /// Time after its last renewal at which a permit expires.
    pub permit_expiry: Duration,
    /// Time within which a granted permit must be used. A new owner grants nothing for at least this
    /// long, so that permits granted by the previous owner are no longer usable.
    pub dispatch_window: Duration,
    /// Period at which an owner reads an engine's load report.
    pub load_period: Duration,
    /// Period at which an owner reconciles its ledger with the engine's holdings.
    pub reconcile_period: Duration,
    /// Period at which an entry node repeats the request for a permit that is queued.
    pub poll_period: Duration,
    /// Time after which a group that could not reserve all its engines releases those that it has.
    pub group_timeout: Duration,
    /// Time after which the streams of a node that no peer can reach are cancelled.
    pub orphan_timeout: Duration,
    /// Estimated prefill time that an owner lets queue up inside an engine.
    pub max_prefill_backlog: Duration,
    /// Maximum number of long prefills running in one engine at the same time.
    pub max_long_prefills: usize,
    /// Capacity kept free of long prompts, as a multiple of the load from short and medium prompts.
    pub short_headroom: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick_period: Duration::from_millis(50),
            directory_refresh_period: Duration::from_millis(200),
            pause_threshold: Duration::from_secs(2),
            renew_period: Duration::from_secs(1),
            permit_expiry: Duration::from_secs(4),
            dispatch_window: Duration::from_secs(1),
            load_period: Duration::from_millis(500),
            reconcile_period: Duration::from_secs(5),
            poll_period: Duration::from_secs(1),
            group_timeout: Duration::from_secs(60),
            orphan_timeout: Duration::from_secs(15),
            max_prefill_backlog: Duration::from_millis(300),
            max_long_prefills: 1,
            short_headroom: 1.5,
        }
    }
}

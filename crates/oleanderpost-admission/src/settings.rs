//! [`Settings`].

use std::time::Duration;

/// Times and bounds of admission.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Period of the background work.
    pub tick_period: Duration,
    /// Period at which the directory is read.
    pub directory_refresh_period: Duration,
    /// A tick later than this means that the process was paused.
    pub pause_threshold: Duration,
    /// Period at which an entry node renews its permits.
    pub renew_period: Duration,
    /// Time after which a permit that is not renewed expires.
    pub permit_expiry: Duration,
    /// Time in which a granted permit must be used; a new owner waits this long.
    pub dispatch_window: Duration,
    /// Period at which an owner reads an engine's load.
    pub load_period: Duration,
    /// Period at which an owner compares an engine's holdings with its ledger.
    pub sweep_period: Duration,
    /// Period at which a waiting request asks again.
    pub poll_period: Duration,
    /// Time after which a group that lacks engines gives back what it has.
    pub group_timeout: Duration,
    /// Time after which the streams of a node that nobody reaches are cancelled.
    pub orphan_timeout: Duration,
    /// Prefill time that an owner lets wait in an engine.
    pub max_prefill_backlog: Duration,
    /// Long prefills that may run in one engine at once.
    pub max_long_prefills: usize,
    /// Spare capacity kept for short and medium prompts, as a factor on their load.
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
            sweep_period: Duration::from_secs(5),
            poll_period: Duration::from_secs(1),
            group_timeout: Duration::from_secs(60),
            orphan_timeout: Duration::from_secs(15),
            max_prefill_backlog: Duration::from_millis(300),
            max_long_prefills: 1,
            short_headroom: 1.5,
        }
    }
}

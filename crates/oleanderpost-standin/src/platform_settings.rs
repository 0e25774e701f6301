//! [`PlatformSettings`].

use serde::{Deserialize, Serialize};

use oleanderpost_types::{ByteSize, Millis, RequestRate};

/// Settings of the platform stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Rate limit of the configuration service in reads per second, over all readers.
    pub config_reads: RequestRate,
    /// Maximum size of a file in the configuration service.
    pub max_value: ByteSize,
    /// Time after which a change of the VM list becomes visible to readers.
    pub list_lag_ms: Millis,
    /// Rate limit of the weight store in fetches per second.
    pub weight_fetches: RequestRate,
    /// Size of each model's weights in the store.
    pub weight_size: ByteSize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            config_reads: RequestRate::new(2_000),
            max_value: ByteSize::new(1_000_000),
            list_lag_ms: Millis::new(0),
            weight_fetches: RequestRate::new(5),
            weight_size: ByteSize::new(65_536),
        }
    }
}

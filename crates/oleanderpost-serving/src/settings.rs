//! [`Settings`].

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;

use crate::{DataCentreName, Error, Result};

/// Margin that is taken off the age of evidence, for the way of a request to its upstream.
const EVIDENCE_MARGIN: Duration = Duration::from_millis(150);
/// Time before the platform's kill at which a node that drains stops by itself.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Settings of an entry node. Durations carry their unit in the name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name in logs.
    pub name: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Address for callers.
    pub callers_listen: SocketAddr,
    /// Address for questions about readiness, metrics and the state.
    pub admin_listen: SocketAddr,
    /// Address for other nodes.
    pub links_listen: SocketAddr,
    /// Addresses of nodes through which others are found.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret that all nodes share.
    pub link_key: String,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Longest time for which a key may pass after it was taken away.
    #[serde(default = "default_revoke_ms")]
    pub revoke_ms: f64,
    /// Time between the signal to stop and the kill.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,
    /// Repeats that are allowed for each request.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Repeats that are allowed besides, for all nodes together.
    #[serde(default)]
    pub retry_slack: f64,
    /// Window in which repeats are counted.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Longest reservation of an engine's memory.
    #[serde(default = "default_reservation_max_ms")]
    pub reservation_max_ms: f64,
    /// Descriptors that the process may use.
    pub descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
}

/// Five seconds: half of the time in which operators expect a leaked key to be dead everywhere.
const fn default_revoke_ms() -> f64 {
    5_000.0
}

/// Usual time between SIGTERM and SIGKILL of service managers.
const fn default_grace_s() -> f64 {
    8.0
}

/// One repeat for ten requests, as is customary for retry budgets.
const fn default_retry_ratio() -> f64 {
    0.1
}

const fn default_retry_window_s() -> f64 {
    10.0
}

const fn default_reservation_max_ms() -> f64 {
    10_000.0
}

impl Settings {
    /// Reads and checks a settings file in YAML.
    ///
    /// # Errors
    ///
    /// [`Error::ReadSettings`] if the file can't be read, [`Error::Settings`] with every fault.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::ReadSettings {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Checks settings in YAML.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with every fault.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|e| Error::Settings(vec![e.to_string()]))?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(Error::Settings(faults))
        }
    }

    fn faults(&self) -> Vec<String> {
        let checks = [
            (
                self.link_key.len() >= oleanderpost_peers::MIN_KEY_LEN,
                "link_key: at least 16 bytes",
            ),
            (self.revoke_ms >= 500.0, "revoke_ms: at least 500"),
            (self.grace_s >= 0.5, "grace_s: at least 0.5"),
            (self.retry_ratio >= 0.0, "retry_ratio: at least 0"),
            (self.retry_slack >= 0.0, "retry_slack: at least 0"),
            (self.retry_window_s > 0.0, "retry_window_s: more than 0"),
            (
                self.reservation_max_ms >= 100.0,
                "reservation_max_ms: at least 100",
            ),
            (self.descriptors >= 256, "descriptors: at least 256"),
            (self.memory_mb >= 64, "memory_mb: at least 64"),
            (
                !self.data_centre.is_empty(),
                "data_centre: must not be empty",
            ),
        ];
        checks
            .iter()
            .filter(|(sound, _)| !sound)
            .map(|(_, text)| (*text).to_owned())
            .collect()
    }

    /// Data centre of the node.
    #[must_use]
    pub fn data_centre(&self) -> DataCentreName {
        DataCentreName::new(&self.data_centre)
    }

    /// Greatest age of evidence with which a key may pass.
    #[must_use]
    pub fn evidence_limit(&self) -> Duration {
        Duration::from_secs_f64(self.revoke_ms / 1e3).saturating_sub(EVIDENCE_MARGIN)
    }

    /// Time for requests in progress after the signal to stop.
    #[must_use]
    pub fn drain_limit(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s).saturating_sub(DRAIN_MARGIN)
    }

    /// Longest reservation of an engine's memory.
    #[must_use]
    pub fn reservation_max(&self) -> Duration {
        Duration::from_secs_f64(self.reservation_max_ms / 1e3)
    }

    /// Window in which repeats are counted.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}

//! [`Settings`].

use std::{net::SocketAddr, ops::RangeInclusive, path::Path, time::Duration};

use crate::{DataCentreName, Error, Result, settings_fields::SettingsFields};

/// Margin that is taken off the age of evidence, for the way of a request to its upstream.
const EVIDENCE_MARGIN: Duration = Duration::from_millis(150);
/// Time before the platform's kill at which a node that drains stops by itself.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Longest time for which a key may pass after it was taken away, if the file states none: half of the time in
/// which operators expect a leaked key to be dead everywhere.
const REVOKE_MS: f64 = 5_000.0;
/// Time between the signal to stop and the kill: usual for service managers.
const GRACE_S: f64 = 8.0;
/// Repeats for each request: customary for retry budgets.
const RETRY_RATIO: f64 = 0.1;
/// Window in which repeats are counted.
const RETRY_WINDOW_S: f64 = 10.0;
/// Longest reservation of an engine's memory: the time limit of a long prompt.
const RESERVATION_MAX_MS: f64 = 10_000.0;
/// Longest span that a setting may state: one hour.
const LONGEST_MS: f64 = 3_600_000.0;
/// Greatest number of repeats that a setting may state.
const MOST_REPEATS: f64 = 1e9;

/// Settings of an entry node. Durations carry their unit in the name.
#[derive(Clone, Debug, PartialEq)]
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
    pub seeds: Vec<SocketAddr>,
    /// Secret that all nodes share.
    pub link_key: String,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Longest time for which a key may pass after it was taken away.
    pub revoke_ms: f64,
    /// Time between the signal to stop and the kill.
    pub grace_s: f64,
    /// Repeats that are allowed for each request.
    pub retry_ratio: f64,
    /// Repeats that are allowed besides, for all nodes together.
    pub retry_slack: f64,
    /// Window in which repeats are counted.
    pub retry_window_s: f64,
    /// Longest reservation of an engine's memory.
    pub reservation_max_ms: f64,
    /// Descriptors that the process may use.
    pub descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
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
        let mut fields = SettingsFields::new(text).map_err(|fault| Error::Settings(vec![fault]))?;
        let read = Self::read_fields(&mut fields);
        let faults = fields.into_faults();
        match read {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Error::Settings(faults)),
        }
    }

    /// Reads all fields, also behind a faulty one; `None` if a required one is not sound.
    fn read_fields(fields: &mut SettingsFields) -> Option<Self> {
        const ADDRESS: &str = "an address with a port";
        let any_text = |text: &String| !text.is_empty();
        let any_address = |_: &SocketAddr| true;
        let name = fields.required("name", "a text", any_text);
        let data_centre = fields.required("data_centre", "a text, not empty", any_text);
        let callers_listen = fields.required("callers_listen", ADDRESS, any_address);
        let admin_listen = fields.required("admin_listen", ADDRESS, any_address);
        let links_listen = fields.required("links_listen", ADDRESS, any_address);
        let seeds = fields.optional("seeds", "a list of addresses", |_: &Vec<SocketAddr>| true);
        let link_key =
            fields.required("link_key", "a text of at least 16 bytes", |key: &String| {
                key.len() >= oleanderpost_peers::MIN_KEY_LEN
            });
        let store = fields.required("store", ADDRESS, any_address);
        let mut number = |name: &str, range: RangeInclusive<f64>, default| {
            let allowed = format!("a number of {} to {}", range.start(), range.end());
            let read = fields.optional(name, &allowed, |number| range.contains(number));
            read.unwrap_or(default)
        };
        let revoke_ms = number("revoke_ms", 500.0..=LONGEST_MS, REVOKE_MS);
        let grace_s = number("grace_s", 0.5..=LONGEST_MS / 1e3, GRACE_S);
        let retry_ratio = number("retry_ratio", 0.0..=MOST_REPEATS, RETRY_RATIO);
        let retry_slack = number("retry_slack", 0.0..=MOST_REPEATS, 0.0);
        let retry_window_s = number("retry_window_s", 0.1..=LONGEST_MS / 1e3, RETRY_WINDOW_S);
        let reservation_max_ms =
            number("reservation_max_ms", 100.0..=LONGEST_MS, RESERVATION_MAX_MS);
        let descriptors = fields.required("descriptors", "a number of at least 256", |n| *n >= 256);
        let memory_mb = fields.required("memory_mb", "a number of at least 64", |n| *n >= 64);
        Some(Self {
            name: name?,
            data_centre: data_centre?,
            callers_listen: callers_listen?,
            admin_listen: admin_listen?,
            links_listen: links_listen?,
            seeds: seeds.unwrap_or_default(),
            link_key: link_key?,
            store: store?,
            revoke_ms,
            grace_s,
            retry_ratio,
            retry_slack,
            retry_window_s,
            reservation_max_ms,
            descriptors: descriptors?,
            memory_mb: memory_mb?,
        })
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

//! [`Settings`].

use std::{net::SocketAddr, ops::RangeInclusive, path::Path, time::Duration};

use crate::{DataCentreName, Error, Result, RetryTotals, settings_fields::SettingsFields};

/// Margin subtracted from the limit on the age of evidence, for the time that a request takes to reach
/// its upstream.
const EVIDENCE_MARGIN: Duration = Duration::from_millis(150);
/// A draining node stops by itself this long before the platform kills it.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Default of `revoke_ms`: half of the time in which operators expect a leaked API key to be rejected
/// everywhere.
const DEFAULT_REVOKE_MS: f64 = 5_000.0;
/// Default of `grace_s`: a common value for service managers.
const DEFAULT_GRACE_S: f64 = 8.0;
/// Default of `retry_ratio`: a common value for retry budgets.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default of `retry_window_s`.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Default of `reservation_max_ms`: the time limit of a request with a long prompt.
const DEFAULT_RESERVATION_MAX_MS: f64 = 10_000.0;
/// Longest duration that a setting may have: one hour.
const MAX_SPAN_MS: f64 = 3_600_000.0;
/// Largest value of the settings for retries.
const MAX_RETRY_SETTING: f64 = 1e9;

/// Settings of an entry node. The names of durations and memory sizes end with their unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node in logs.
    pub name: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Listen address for callers.
    pub callers_listen: SocketAddr,
    /// Listen address for readiness checks, metrics and the state dump.
    pub admin_listen: SocketAddr,
    /// Listen address for links from other nodes.
    pub links_listen: SocketAddr,
    /// Link addresses of the nodes that may schedule for the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all nodes, which authenticates links.
    pub link_key: String,
    /// Address of the platform's discovery store.
    pub store: SocketAddr,
    /// Longest time for which an API key may be accepted after it was revoked.
    pub revoke_ms: f64,
    /// Time between the stop signal and the kill.
    pub grace_s: f64,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Additional retries allowed within the window, for all nodes together.
    pub retry_slack: f64,
    /// Length of the window in which requests and retries are counted.
    pub retry_window_s: f64,
    /// Longest reservation of an engine's memory for one request.
    pub reservation_max_ms: f64,
    /// Number of file descriptors that the process may use.
    pub descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
}

impl Settings {
    /// Reads and validates a settings file in YAML.
    ///
    /// # Errors
    ///
    /// [`Error::ReadSettings`] if the file can't be read, [`Error::Settings`] with all invalid settings.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::ReadSettings {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all invalid settings.
    pub fn parse(text: &str) -> Result<Self> {
        let mut fields = SettingsFields::new(text).map_err(|error| Error::Settings(vec![error]))?;
        let read = Self::read_fields(&mut fields);
        let errors = fields.into_errors();
        match read {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(Error::Settings(errors)),
        }
    }

    /// Reads all fields, even after an invalid one, so that all errors are reported; `None` if a required
    /// field is missing or invalid.
    fn read_fields(fields: &mut SettingsFields) -> Option<Self> {
        const ADDRESS: &str = "an address with a port";
        let is_not_empty = |text: &String| !text.is_empty();
        let accept_any = |_: &SocketAddr| true;
        let name = fields.required("name", "a text", is_not_empty);
        let data_centre = fields.required("data_centre", "a text, not empty", is_not_empty);
        let callers_listen = fields.required("callers_listen", ADDRESS, accept_any);
        let admin_listen = fields.required("admin_listen", ADDRESS, accept_any);
        let links_listen = fields.required("links_listen", ADDRESS, accept_any);
        let seeds = fields.optional("seeds", "a list of addresses", |_: &Vec<SocketAddr>| true);
        let link_key =
            fields.required("link_key", "a text of at least 16 bytes", |key: &String| {
                key.len() >= oleanderpost_peers::MIN_KEY_LEN
            });
        let store = fields.required("store", ADDRESS, accept_any);
        let mut number = |name: &str, range: RangeInclusive<f64>, default| {
            let allowed = format!("a number of {} to {}", range.start(), range.end());
            let read = fields.optional(name, &allowed, |number| range.contains(number));
            read.unwrap_or(default)
        };
        let revoke_ms = number("revoke_ms", 500.0..=MAX_SPAN_MS, DEFAULT_REVOKE_MS);
        let grace_s = number("grace_s", 0.5..=MAX_SPAN_MS / 1e3, DEFAULT_GRACE_S);
        let retry_ratio = number("retry_ratio", 0.0..=MAX_RETRY_SETTING, DEFAULT_RETRY_RATIO);
        let retry_slack = number("retry_slack", 0.0..=MAX_RETRY_SETTING, 0.0);
        let retry_window_s = number(
            "retry_window_s",
            0.1..=MAX_SPAN_MS / 1e3,
            DEFAULT_RETRY_WINDOW_S,
        );
        let reservation_max_ms = number(
            "reservation_max_ms",
            100.0..=MAX_SPAN_MS,
            DEFAULT_RESERVATION_MAX_MS,
        );
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

    /// Largest age of evidence with which API keys are accepted.
    #[must_use]
    pub fn max_evidence_age(&self) -> Duration {
        Duration::from_secs_f64(self.revoke_ms / 1e3).saturating_sub(EVIDENCE_MARGIN)
    }

    /// Time that requests in progress have to finish after the stop signal.
    #[must_use]
    pub fn drain_time(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s).saturating_sub(DRAIN_MARGIN)
    }

    /// Longest reservation of an engine's memory for one request.
    #[must_use]
    pub fn reservation_max(&self) -> Duration {
        Duration::from_secs_f64(self.reservation_max_ms / 1e3)
    }

    /// What all nodes together may retry.
    #[must_use]
    pub fn retry_totals(&self) -> RetryTotals {
        RetryTotals {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }
}

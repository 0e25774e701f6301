//! [`Settings`].

use std::{net::SocketAddr, ops::RangeInclusive, str::FromStr, time::Duration};

use oleanderpost::types::{ByteSize, DataCentre, Millis, VmId};

use crate::{Error, LinkKey, LogLevel, Result, SeedPeer, SettingFault, SettingsFile};

const DEFAULT_BODY_LIMIT_BYTES: u64 = 16 * 1024 * 1024;
const DEFAULT_CALLER_CONNECTIONS: u64 = 4_096;
const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_SILENCE_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_DRAIN_GRACE_MS: u64 = 3_000;

const BODY_LIMIT_BYTES: RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;
const CALLER_CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const CONNECT_TIMEOUT_MS: RangeInclusive<u64> = 10..=60_000;
const SILENCE_TIMEOUT_MS: RangeInclusive<u64> = 50..=60_000;
const DRAIN_GRACE_MS: RangeInclusive<u64> = 0..=60_000;

/// Validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Address of the listener for callers.
    pub callers_listen: SocketAddr,
    /// Address of the listener for links from other nodes.
    pub links_listen: SocketAddr,
    /// Address of the listener for operators.
    pub admin_listen: SocketAddr,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Key shared by all nodes, which authenticates links.
    pub link_key: LinkKey,
    /// Nodes from which to get the VM list if the platform does not answer at the start.
    pub seed_peers: Vec<SeedPeer>,
    /// Lowest level that is logged.
    pub log_level: LogLevel,
    /// Maximum size of a request body.
    pub body_limit: ByteSize,
    /// Maximum number of concurrent caller connections.
    pub caller_connections: u64,
    /// Timeout for opening a connection to an upstream or the platform.
    pub connect_timeout: Duration,
    /// Time without an event on a stream after which the engine is asked for the stream's status.
    pub silence_timeout: Duration,
    /// Time between the stop signal and the moment when the node stops accepting requests.
    pub drain_grace: Duration,
}

impl Settings {
    /// Validates settings and fills in the defaults.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all faults.
    pub fn from_file(file: &SettingsFile) -> Result<Self> {
        let mut validator = Validator::default();
        let settings = (
            validator.required("vm", file.vm.as_deref()),
            validator.required("data_centre", file.data_centre.as_deref()),
            validator.required("callers_listen", file.callers_listen.as_deref()),
            validator.required("links_listen", file.links_listen.as_deref()),
            validator.required("admin_listen", file.admin_listen.as_deref()),
            validator.required("platform", file.platform.as_deref()),
            validator.required("link_key", file.link_key.as_deref()),
            validator.required("log_level", file.log_level.as_deref().or(Some("info"))),
        );
        let seed_peers = file.seed_peers.iter();
        let seed_peers = seed_peers.filter_map(|text| validator.required("seed_peers", Some(text)));
        let seed_peers: Vec<SeedPeer> = seed_peers.collect();
        let body_limit = validator.in_range(
            "body_limit_bytes",
            file.body_limit_bytes.unwrap_or(DEFAULT_BODY_LIMIT_BYTES),
            BODY_LIMIT_BYTES,
        );
        let caller_connections = validator.in_range(
            "caller_connections",
            file.caller_connections
                .unwrap_or(DEFAULT_CALLER_CONNECTIONS),
            CALLER_CONNECTIONS,
        );
        let connect_timeout_ms = validator.in_range(
            "connect_timeout_ms",
            file.connect_timeout_ms
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS),
            CONNECT_TIMEOUT_MS,
        );
        let silence_ms = validator.in_range(
            "silence_ms",
            file.silence_ms.unwrap_or(DEFAULT_SILENCE_TIMEOUT_MS),
            SILENCE_TIMEOUT_MS,
        );
        let drain_grace_ms = validator.in_range(
            "drain_grace_ms",
            file.drain_grace_ms.unwrap_or(DEFAULT_DRAIN_GRACE_MS),
            DRAIN_GRACE_MS,
        );
        let (
            Some(vm),
            Some(data_centre),
            Some(callers_listen),
            Some(links_listen),
            Some(admin_listen),
            Some(platform),
            Some(link_key),
            Some(log_level),
        ) = settings
        else {
            return Err(Error::Settings(validator.faults));
        };
        if !validator.faults.is_empty() {
            return Err(Error::Settings(validator.faults));
        }
        Ok(Self {
            vm,
            data_centre,
            callers_listen,
            links_listen,
            admin_listen,
            platform,
            link_key,
            seed_peers,
            log_level,
            body_limit: ByteSize::new(body_limit),
            caller_connections,
            connect_timeout: Millis::new(connect_timeout_ms).into(),
            silence_timeout: Millis::new(silence_ms).into(),
            drain_grace: Millis::new(drain_grace_ms).into(),
        })
    }
}

#[derive(Default)]
struct Validator {
    faults: Vec<SettingFault>,
}

impl Validator {
    fn add_fault(&mut self, name: &'static str, detail: String) {
        self.faults.push(SettingFault { name, detail });
    }

    fn required<T>(&mut self, name: &'static str, text: Option<&str>) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let Some(text) = text else {
            self.add_fault(name, "is missing".to_owned());
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.add_fault(name, e.to_string());
                None
            }
        }
    }

    fn in_range(&mut self, name: &'static str, value: u64, range: RangeInclusive<u64>) -> u64 {
        if !range.contains(&value) {
            let detail = format!("{value} is outside {} to {}", range.start(), range.end());
            self.add_fault(name, detail);
        }
        value
    }
}

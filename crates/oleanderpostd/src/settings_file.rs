//! [`SettingsFile`].

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::{Error, Result, SettingFault};

/// Settings before validation, as read from a YAML file, flags or the environment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::Args)]
#[serde(deny_unknown_fields, default)]
pub struct SettingsFile {
    /// Name of this VM in the platform's VM list.
    #[arg(long, env = "OLEANDERPOST_VM")]
    pub vm: Option<String>,
    /// Data centre of this VM.
    #[arg(long, env = "OLEANDERPOST_DATA_CENTRE")]
    pub data_centre: Option<String>,
    /// Address of the listener for callers, as IP:PORT.
    #[arg(long, env = "OLEANDERPOST_CALLERS_LISTEN")]
    pub callers_listen: Option<String>,
    /// Address of the listener for links from other nodes, as IP:PORT.
    #[arg(long, env = "OLEANDERPOST_LINKS_LISTEN")]
    pub links_listen: Option<String>,
    /// Address of the listener for metrics, health, status and dump, as IP:PORT.
    #[arg(long, env = "OLEANDERPOST_ADMIN_LISTEN")]
    pub admin_listen: Option<String>,
    /// Address of the platform's services, as IP:PORT.
    #[arg(long, env = "OLEANDERPOST_PLATFORM")]
    pub platform: Option<String>,
    /// Key shared by all nodes, which authenticates links; at least 16 bytes.
    #[arg(long, env = "OLEANDERPOST_LINK_KEY", hide_env_values = true)]
    pub link_key: Option<String>,
    /// Node from which to get the VM list if the platform does not answer at the start, as VM=IP:PORT;
    /// may be given several times.
    #[arg(long, env = "OLEANDERPOST_SEED_PEERS", value_delimiter = ',')]
    pub seed_peers: Vec<String>,
    /// Log level: trace, debug, info, warn, error.
    #[arg(long, env = "OLEANDERPOST_LOG_LEVEL")]
    pub log_level: Option<String>,
    /// Maximum size of a request body, in bytes.
    #[arg(long, env = "OLEANDERPOST_BODY_LIMIT_BYTES")]
    pub body_limit_bytes: Option<u64>,
    /// Maximum number of concurrent caller connections.
    #[arg(long, env = "OLEANDERPOST_CALLER_CONNECTIONS")]
    pub caller_connections: Option<u64>,
    /// Timeout for opening a connection to an upstream or the platform, in milliseconds.
    #[arg(long, env = "OLEANDERPOST_CONNECT_TIMEOUT_MS")]
    pub connect_timeout_ms: Option<u64>,
    /// Time without an event on a stream after which the engine is asked for the stream's status, in
    /// milliseconds.
    #[arg(long, env = "OLEANDERPOST_SILENCE_MS")]
    pub silence_ms: Option<u64>,
    /// Time between the stop signal and the moment when the node stops accepting requests, in milliseconds.
    #[arg(long, env = "OLEANDERPOST_DRAIN_GRACE_MS")]
    pub drain_grace_ms: Option<u64>,
}

impl SettingsFile {
    /// Reads a YAML file.
    ///
    /// # Errors
    ///
    /// [`Error::ReadSettings`] when it cannot be read, [`Error::Settings`] when it is not valid YAML.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::ReadSettings {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses YAML.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with the line and column of the fault.
    pub fn parse(text: &str) -> Result<Self> {
        serde_saphyr::from_str(text).map_err(|e| {
            Error::Settings(vec![SettingFault {
                name: "file",
                detail: e.to_string(),
            }])
        })
    }

    /// Merges the settings: a setting missing in `self` is taken from `fallback`.
    #[must_use]
    pub fn with_fallback(self, fallback: Self) -> Self {
        Self {
            vm: self.vm.or(fallback.vm),
            data_centre: self.data_centre.or(fallback.data_centre),
            callers_listen: self.callers_listen.or(fallback.callers_listen),
            links_listen: self.links_listen.or(fallback.links_listen),
            admin_listen: self.admin_listen.or(fallback.admin_listen),
            platform: self.platform.or(fallback.platform),
            link_key: self.link_key.or(fallback.link_key),
            seed_peers: if self.seed_peers.is_empty() {
                fallback.seed_peers
            } else {
                self.seed_peers
            },
            log_level: self.log_level.or(fallback.log_level),
            body_limit_bytes: self.body_limit_bytes.or(fallback.body_limit_bytes),
            caller_connections: self.caller_connections.or(fallback.caller_connections),
            connect_timeout_ms: self.connect_timeout_ms.or(fallback.connect_timeout_ms),
            silence_ms: self.silence_ms.or(fallback.silence_ms),
            drain_grace_ms: self.drain_grace_ms.or(fallback.drain_grace_ms),
        }
    }
}

//! [`ConfigDelta`].

use serde::{Deserialize, Serialize};

use crate::{Account, CallerLimits, Route, Service, ServiceName};

/// Difference between two versions of the configuration.
///
/// Nodes of a large fleet receive it from the peer that they follow, so that the store's load does not grow with the
/// fleet. See [`ServingConfig::delta_from`](crate::ServingConfig::delta_from).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the difference applies to.
    pub from: u64,
    /// Version that it leads to.
    pub version: u64,
    /// Routes that were added or changed.
    pub routes: Vec<Route>,
    /// Host and prefix of the routes that were removed.
    pub removed_routes: Vec<(String, String)>,
    /// All services, if any has changed.
    pub services: Option<Vec<(ServiceName, Service)>>,
    /// API keys that were added, or given to another client account.
    pub keys: Vec<(String, Account)>,
    /// API keys that were removed.
    pub removed_keys: Vec<String>,
    /// Whether routes that are not public require an API key.
    pub keyed: bool,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

impl ConfigDelta {
    /// Number of routes and keys that differ.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len() + self.removed_routes.len() + self.keys.len() + self.removed_keys.len()
    }

    /// Whether no route and no key differs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

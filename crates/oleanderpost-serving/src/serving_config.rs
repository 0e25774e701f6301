//! [`ServingConfig`].

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{Account, CallerLimits, ConfigDelta, Route, Service, ServiceName};

/// One version of the operator's configuration: routes, services, client accounts and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServingConfig {
    version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    accounts: HashMap<String, Arc<Account>>,
    /// Whether routes that are not public require an API key.
    keyed: bool,
    limits: CallerLimits,
}

impl ServingConfig {
    /// Creates an empty configuration with this version.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds the routes.
    #[must_use]
    pub fn with_routes(mut self, routes: impl IntoIterator<Item = Route>) -> Self {
        for route in routes {
            let host_routes = self.routes.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in self.routes.values_mut() {
            // Sorted completely, so that equal configurations compare as equal.
            host_routes.sort_by(|a, b| {
                let by_len = b.prefix.len().cmp(&a.prefix.len());
                by_len.then_with(|| a.prefix.cmp(&b.prefix))
            });
        }
        self
    }

    /// Adds the services.
    #[must_use]
    pub fn with_services(
        mut self,
        services: impl IntoIterator<Item = (ServiceName, Service)>,
    ) -> Self {
        self.services.extend(services);
        self
    }

    /// Adds client accounts with their API keys. Afterwards, routes that are not public require one of these
    /// keys, even if the list is empty.
    #[must_use]
    pub fn with_accounts(
        mut self,
        accounts: impl IntoIterator<Item = (Account, Vec<String>)>,
    ) -> Self {
        self.keyed = true;
        for (account, keys) in accounts {
            let account = Arc::new(account);
            for key in keys {
                self.accounts.insert(key, Arc::clone(&account));
            }
        }
        self
    }

    /// Sets the limits on callers' requests.
    #[must_use]
    pub fn with_caller_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Difference from `old` to this configuration.
    #[must_use]
    pub fn delta_from(&self, old: &Self) -> ConfigDelta {
        let old_routes: HashMap<_, _> = old.all_routes().map(|r| (r.key(), r)).collect();
        let changed_routes = self
            .all_routes()
            .filter(|route| old_routes.get(&route.key()) != Some(route));
        let kept: HashSet<_> = self.all_routes().map(|route| route.key()).collect();
        let removed_routes = old
            .all_routes()
            .map(|route| route.key())
            .filter(|key| !kept.contains(key));
        let changed_keys = self
            .accounts
            .iter()
            .filter(|(key, account)| old.accounts.get(*key) != Some(*account));
        let removed_keys = old
            .accounts
            .keys()
            .filter(|key| !self.accounts.contains_key(*key));
        let services = self.services.iter();
        ConfigDelta {
            from: old.version,
            version: self.version,
            routes: changed_routes.map(|route| Route::clone(route)).collect(),
            removed_routes: removed_routes
                .map(|(host, prefix)| (host.to_owned(), prefix.to_owned()))
                .collect(),
            services: (self.services != old.services).then(|| {
                services
                    .map(|(name, service)| (name.clone(), service.clone()))
                    .collect()
            }),
            keys: changed_keys
                .map(|(key, account)| (key.clone(), Account::clone(account)))
                .collect(),
            removed_keys: removed_keys.cloned().collect(),
            keyed: self.keyed,
            limits: self.limits,
        }
    }

    /// The configuration that `delta` leads to; `None` if `delta` applies to another version.
    #[must_use]
    pub fn with_delta(&self, delta: ConfigDelta) -> Option<Self> {
        if delta.from != self.version {
            return None;
        }
        let mut config = self.clone();
        config.version = delta.version;
        config.keyed = delta.keyed;
        config.limits = delta.limits;
        let changed = delta
            .routes
            .iter()
            .map(|route| (route.host.clone(), route.prefix.clone()));
        let replaced: HashSet<_> = changed.chain(delta.removed_routes).collect();
        for host_routes in config.routes.values_mut() {
            host_routes
                .retain(|route| !replaced.contains(&(route.host.clone(), route.prefix.clone())));
        }
        config
            .routes
            .retain(|_, host_routes| !host_routes.is_empty());
        if let Some(services) = delta.services {
            config.services = services.into_iter().collect();
        }
        for key in &delta.removed_keys {
            config.accounts.remove(key);
        }
        let keys = delta.keys.into_iter();
        config
            .accounts
            .extend(keys.map(|(key, account)| (key, Arc::new(account))));
        Some(config.with_routes(delta.routes))
    }

    fn all_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Adds the limits of cold upstreams that `other` has and this configuration lacks. Nodes of earlier versions pass
    /// configurations on without them.
    #[must_use]
    pub fn with_cold_limits_of(mut self, other: &Self) -> Self {
        for (name, service) in &mut self.services {
            let known = other.service(name).and_then(|service| service.cold);
            service.cold = service.cold.or(known);
        }
        self
    }

    /// Whether both have the same limits of cold upstreams.
    #[must_use]
    pub fn has_same_cold_limits(&self, other: &Self) -> bool {
        self.services.iter().all(|(name, service)| {
            let known = other.service(name).and_then(|service| service.cold);
            service.cold == known
        })
    }

    /// Version; a configuration replaces any with a smaller version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on callers' requests.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether routes that are not public require an API key.
    #[must_use]
    pub fn requires_api_key(&self) -> bool {
        self.keyed
    }

    /// The client account that the API key belongs to.
    #[must_use]
    pub fn account_for_key(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Service)> {
        self.services.iter()
    }

    /// The route of the host with the longest prefix that matches the path. Host names are case-insensitive.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }
}

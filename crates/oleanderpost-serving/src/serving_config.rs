//! [`ServingConfig`].

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Account, CallerLimits, Route, Service, ServiceName};

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
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
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

//! [`ServingConfig`].

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Account, CallerLimits, Route, Service, ServiceName};

/// One whole configuration of the operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServingConfig {
    version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    accounts: HashMap<String, Arc<Account>>,
    keyed: bool,
    limits: CallerLimits,
}

impl ServingConfig {
    /// An empty configuration of this version.
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
            let of_host = self.routes.entry(route.host.clone()).or_default();
            of_host.push(Arc::new(route));
        }
        for of_host in self.routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
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

    /// Adds accounts with their keys; routes that are not open need one of these from now on.
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

    /// Sets what callers may send.
    #[must_use]
    pub fn with_caller_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Version; a greater one replaces a smaller one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether routes that are not open need a key.
    #[must_use]
    pub fn requires_api_key(&self) -> bool {
        self.keyed
    }

    /// The account that holds the key.
    #[must_use]
    pub fn account_for_key(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Service)> {
        self.services.iter()
    }

    /// The route of the host whose prefix is the longest that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        of_host.iter().find(|route| path.starts_with(&route.prefix))
    }
}

//! [`Route`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{RetryTerms, RouteKind, RouteName, ServiceName};

/// Timeout of a route that does not state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Latency objective of a route that does not state one.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Routing rule for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: RouteKind,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Latency objective: time to the response, or to the first event of a stream, that callers expect.
    pub objective: Duration,
    /// Longest gap between events of a stream that callers expect.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
    /// Time without an event after which callers of streams give up, also before the first event; `None` if they wait
    /// until the timeout.
    #[serde(default)]
    pub patience: Option<Duration>,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Services and their weights; at least one.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of upstreams that may have run one request.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    #[serde(rename = "open")]
    pub is_public: bool,
}

impl Route {
    /// Creates a route with default settings for the paths of `host` that start with `prefix`.
    ///
    /// By default, requests need an API key and run at most once, since nothing states that they may be
    /// retried.
    #[must_use]
    pub fn new(
        name: &str,
        host: &str,
        prefix: &str,
        targets: impl IntoIterator<Item = (ServiceName, u32)>,
    ) -> Self {
        Self {
            name: RouteName::new(name),
            host: host.to_ascii_lowercase(),
            prefix: prefix.to_owned(),
            kind: RouteKind::Once,
            timeout: DEFAULT_TIMEOUT,
            objective: DEFAULT_OBJECTIVE,
            max_event_gap: None,
            patience: None,
            priority: 0,
            targets: targets.into_iter().collect(),
            max_attempts: 1,
            is_public: false,
        }
    }

    /// Host and prefix, which identify the route in a configuration.
    pub(crate) fn key(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }

    /// Conditions under which requests of this route may be retried.
    #[must_use]
    pub fn retry_terms(&self) -> RetryTerms {
        RetryTerms {
            repeatable: self.kind.is_repeatable(),
            max_attempts: Some(self.max_attempts.max(1)),
        }
    }

    /// Selects the service for a request, in proportion to the weights.
    ///
    /// `hash` must be uniformly distributed; equal hashes select the same service.
    #[must_use]
    pub fn select_service(&self, hash: u32) -> Option<&ServiceName> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        if total == 0 {
            return self.targets.first().map(|(name, _)| name);
        }
        let mut offset = u64::from(hash) % total;
        for (name, weight) in &self.targets {
            let weight = u64::from(*weight);
            if offset < weight {
                return Some(name);
            }
            offset -= weight;
        }
        None
    }
}

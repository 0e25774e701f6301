//! [`Route`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{RetryTerms, RouteKind, RouteName, ServiceName};

/// Time limit of a route that states none.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
/// Objective of a route that states none.
const OBJECTIVE_DEFAULT: Duration = Duration::from_secs(1);

/// Where requests of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time from the request to the end of its answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers expect.
    pub objective: Duration,
    /// Longest pause between events of a stream that callers expect.
    #[serde(rename = "pause")]
    pub max_event_gap: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Services with their weights; at least one.
    pub targets: Vec<(ServiceName, u32)>,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    #[serde(rename = "open")]
    pub is_public: bool,
}

impl Route {
    /// A route of all paths of `host` that begin with `prefix`, with the terms of one that states none:
    /// its requests need a key and run once, since nothing says that they may be repeated.
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
            timeout: TIMEOUT_DEFAULT,
            objective: OBJECTIVE_DEFAULT,
            max_event_gap: None,
            priority: 0,
            targets: targets.into_iter().collect(),
            max_attempts: 1,
            is_public: false,
        }
    }

    /// What its kind allows when an attempt fails.
    #[must_use]
    pub fn retry_terms(&self) -> RetryTerms {
        RetryTerms {
            repeatable: self.kind.is_repeatable(),
            max_attempts: Some(self.max_attempts.max(1)),
        }
    }

    /// The service for a request, by its share of the weights.
    ///
    /// `draw` is uniform over all values; equal draws give equal services.
    #[must_use]
    pub fn select_service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return self.targets.first().map(|(name, _)| name);
        }
        let mut at = u64::from(draw) % total;
        for (name, weight) in &self.targets {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(name);
            }
            at -= weight;
        }
        None
    }
}

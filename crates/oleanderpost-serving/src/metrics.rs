//! [`Metrics`].

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{Rejection, RouteName};

/// Upper bound of the first bucket of latencies, in seconds.
const FIRST_BUCKET: f64 = 0.005;
/// Number of buckets of latencies; each is twice as wide as the one before.
const BUCKETS: u16 = 13;

/// Label of a reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// Label of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabel {
    route: String,
}

/// Counters and histograms of the request path.
pub struct Metrics {
    registry: Registry,
    rejected: Family<ReasonLabel, Counter>,
    answers: Family<RouteLabel, Histogram>,
    first_events: Family<RouteLabel, Histogram>,
    broken_off: Counter,
    resumed: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("oleanderpost_entry"),
            rejected: Family::default(),
            answers: Family::new_with_constructor(histogram),
            first_events: Family::new_with_constructor(histogram),
            broken_off: Counter::default(),
            resumed: Counter::default(),
        };
        let registry = &mut metrics.registry;
        registry.register(
            "rejected",
            "Requests without an answer of an upstream, by reason",
            metrics.rejected.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time to whole answers, by route",
            metrics.answers.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to first events of streams, by route",
            metrics.first_events.clone(),
        );
        registry.register(
            "broken_off",
            "Streams that broke off",
            metrics.broken_off.clone(),
        );
        registry.register(
            "resumed",
            "Streams that went on at another upstream",
            metrics.resumed.clone(),
        );
        metrics
    }

    pub(crate) fn rejected(&self, rejection: Rejection) {
        let reason = rejection.name().to_owned();
        self.rejected.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn answered(&self, route: &RouteName, took: Duration) {
        let route = route.to_string();
        self.answers
            .get_or_create(&RouteLabel { route })
            .observe(took.as_secs_f64());
    }

    pub(crate) fn first_event(&self, route: &RouteName, took: Duration) {
        let route = route.to_string();
        self.first_events
            .get_or_create(&RouteLabel { route })
            .observe(took.as_secs_f64());
    }

    pub(crate) fn broken_off(&self) {
        self.broken_off.inc();
    }

    pub(crate) fn resumed(&self) {
        self.resumed.inc();
    }

    /// All metrics in the text form of Prometheus.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            spdlog::error!("metrics not encoded", kv: { error: = e });
        }
        text
    }
}

//! [`Metrics`].

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode as encode_text},
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{
    AttemptError, Rejection, RouteName, ServiceName,
    node_gauges::{GaugeValues, NodeGauges},
};

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
/// Number of latency buckets; each upper bound is twice the previous one.
const BUCKETS: u16 = 13;

/// Label of rejected requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// Size classes of prompts: the longest prompt of the class in tokens, and the label value.
const PROMPT_SIZE_CLASSES: [(f64, &str); 5] = [
    (2e3, "2k"),
    (8e3, "8k"),
    (32e3, "32k"),
    (128e3, "128k"),
    (512e3, "512k"),
];
/// Label value of prompts longer than all size classes.
const LONGER_PROMPTS: &str = "longer";
/// Label value of requests that do not state the length of their prompt.
const UNKNOWN_PROMPT_SIZE: &str = "not_stated";

/// Labels of streams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StreamLabels {
    route: String,
    size: &'static str,
}

/// Labels of failed attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    step: &'static str,
    may_have_run: &'static str,
}

/// Label of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// Labels of retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    decision: &'static str,
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
    response_seconds: Family<RouteLabel, Histogram>,
    first_event_seconds: Family<StreamLabels, Histogram>,
    attempts_failed: Family<AttemptLabels, Counter>,
    requests: Family<ServiceLabel, Counter>,
    retries: Family<RetryLabels, Counter>,
    gauges: NodeGauges,
    broken_off: Counter,
    resumed: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS));
        let mut registry = Registry::with_prefix("oleanderpost_entry");
        let gauges = NodeGauges::new(&mut registry);
        let mut metrics = Self {
            registry,
            gauges,
            attempts_failed: Family::default(),
            requests: Family::default(),
            retries: Family::default(),
            rejected: Family::default(),
            response_seconds: Family::new_with_constructor(histogram),
            first_event_seconds: Family::new_with_constructor(histogram),
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
            metrics.response_seconds.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to first events of streams, by route and length of the prompt",
            metrics.first_event_seconds.clone(),
        );
        registry.register(
            "attempts_failed",
            "Attempts at upstreams that gave no usable answer, by step",
            metrics.attempts_failed.clone(),
        );
        registry.register(
            "requests",
            "Requests that may be sent to upstreams, by service",
            metrics.requests.clone(),
        );
        registry.register(
            "retries",
            "Retries that the budget of the service allowed or refused",
            metrics.retries.clone(),
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

    pub(crate) fn count_rejection(&self, rejection: Rejection) {
        let reason = rejection.name().to_owned();
        self.rejected.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn observe_response(&self, route: &RouteName, duration: Duration) {
        let route = route.to_string();
        self.response_seconds
            .get_or_create(&RouteLabel { route })
            .observe(duration.as_secs_f64());
    }

    pub(crate) fn observe_first_event(
        &self,
        route: &RouteName,
        prompt_tokens: Option<f64>,
        duration: Duration,
    ) {
        let labels = StreamLabels {
            route: route.to_string(),
            size: prompt_tokens.map_or(UNKNOWN_PROMPT_SIZE, size_class),
        };
        self.first_event_seconds
            .get_or_create(&labels)
            .observe(duration.as_secs_f64());
    }

    pub(crate) fn count_failed_attempt(&self, e: &AttemptError) {
        let labels = AttemptLabels {
            step: e.step,
            may_have_run: if e.ran.may_have_run() {
                "true"
            } else {
                "false"
            },
        };
        self.attempts_failed.get_or_create(&labels).inc();
    }

    pub(crate) fn count_request(&self, service: &ServiceName) {
        let service = service.to_string();
        self.requests.get_or_create(&ServiceLabel { service }).inc();
    }

    pub(crate) fn count_retry(&self, service: &ServiceName, allowed: bool) {
        let labels = RetryLabels {
            service: service.to_string(),
            decision: if allowed { "allowed" } else { "refused" },
        };
        self.retries.get_or_create(&labels).inc();
    }

    pub(crate) fn count_aborted_stream(&self) {
        self.broken_off.inc();
    }

    pub(crate) fn count_resumed_stream(&self) {
        self.resumed.inc();
    }

    /// Sets the gauges and returns all metrics in the Prometheus text format.
    #[must_use]
    pub(crate) fn encode(&self, values: GaugeValues) -> String {
        self.gauges.set(values);
        let mut text = String::new();
        if let Err(e) = encode_text(&mut text, &self.registry) {
            spdlog::error!("failed to encode metrics", kv: { error: = e });
        }
        text
    }
}

fn size_class(prompt_tokens: f64) -> &'static str {
    let class = PROMPT_SIZE_CLASSES
        .iter()
        .find(|(max_tokens, _)| prompt_tokens <= *max_tokens);
    class.map_or(LONGER_PROMPTS, |(_, name)| *name)
}

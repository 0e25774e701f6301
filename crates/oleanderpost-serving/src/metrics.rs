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

use crate::{
    AttemptError, Rejection, RouteName,
    node_gauges::{NodeGauges, NodeReading},
};

/// Upper bound of the first bucket of latencies, in seconds.
const FIRST_BUCKET: f64 = 0.005;
/// Number of buckets of latencies; each is twice as wide as the one before.
const BUCKETS: u16 = 13;

/// Label of a reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// Longest prompts of the size classes, in tokens, with their names.
const SIZES: [(f64, &str); 5] = [
    (2e3, "2k"),
    (8e3, "8k"),
    (32e3, "32k"),
    (128e3, "128k"),
    (512e3, "512k"),
];
/// Size class of longer prompts.
const LONGEST: &str = "longer";
/// Size class of requests that do not state the length of their prompt.
const NO_SIZE: &str = "not_stated";

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
    first_events: Family<StreamLabels, Histogram>,
    attempts_failed: Family<AttemptLabels, Counter>,
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
    /// Metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut registry = Registry::with_prefix("oleanderpost_entry");
        let gauges = NodeGauges::new(&mut registry);
        let mut metrics = Self {
            registry,
            gauges,
            attempts_failed: Family::default(),
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
            "Time to first events of streams, by route and length of the prompt",
            metrics.first_events.clone(),
        );
        registry.register(
            "attempts_failed",
            "Attempts at upstreams that gave no usable answer, by step",
            metrics.attempts_failed.clone(),
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

    pub(crate) fn first_event(&self, route: &RouteName, prompt: Option<f64>, took: Duration) {
        let labels = StreamLabels {
            route: route.to_string(),
            size: prompt.map_or(NO_SIZE, size_class),
        };
        self.first_events
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    pub(crate) fn attempt_failed(&self, e: &AttemptError) {
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

    pub(crate) fn broken_off(&self) {
        self.broken_off.inc();
    }

    pub(crate) fn resumed(&self) {
        self.resumed.inc();
    }

    /// All metrics in the text form of Prometheus.
    #[must_use]
    pub(crate) fn text(&self, reading: NodeReading) -> String {
        self.gauges.set(reading);
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            spdlog::error!("metrics not encoded", kv: { error: = e });
        }
        text
    }
}

fn size_class(prompt: f64) -> &'static str {
    let class = SIZES.iter().find(|(longest, _)| prompt <= *longest);
    class.map_or(LONGEST, |(_, name)| *name)
}

//! [`Metrics`].

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::{Family, MetricConstructor},
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{ControlMetrics, ProcessMetrics};

/// Lowest bucket bound of a time histogram, in seconds.
const FIRST_BOUND_S: f64 = 0.001;
/// Ratio between successive bucket bounds of a time histogram.
const BOUND_FACTOR: f64 = 2.0;
/// Number of bucket bounds of a time histogram; the highest is about 17 minutes.
const BOUND_COUNT: u16 = 21;

/// Labels of the counter of ended requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// Service.
    pub(crate) service: String,
    /// Result of the request: `whole` for a complete answer, otherwise the problem's outcome.
    pub(crate) outcome: String,
}

/// Labels of the metrics by service and prompt-length class.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ClassLabels {
    /// Service.
    pub(crate) service: String,
    /// Prompt-length class.
    pub(crate) class: String,
}

/// Labels of the counter of refusals.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    /// Kind of the problem.
    pub(crate) kind: String,
}

#[derive(Clone, Debug)]
struct TimeBuckets;

impl MetricConstructor<Histogram> for TimeBuckets {
    fn new_metric(&self) -> Histogram {
        Histogram::new(exponential_buckets(
            FIRST_BOUND_S,
            BOUND_FACTOR,
            BOUND_COUNT,
        ))
    }
}

type TimeHistograms = Family<ClassLabels, Histogram, TimeBuckets>;

/// Metrics of the node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    first_token: TimeHistograms,
    between_tokens: TimeHistograms,
    pub(crate) in_flight: Gauge,
    pub(crate) attempts: Counter,
    pub(crate) resumes: Counter,
    pub(crate) cancels: Counter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("oleanderpost"),
            requests: Family::default(),
            refusals: Family::default(),
            first_token: Family::new_with_constructor(TimeBuckets),
            between_tokens: Family::new_with_constructor(TimeBuckets),
            in_flight: Gauge::default(),
            attempts: Counter::default(),
            resumes: Counter::default(),
            cancels: Counter::default(),
        };
        metrics.register();
        metrics
    }

    /// Adds the metrics of the node's control traffic.
    pub(crate) fn with_control_metrics(mut self, control: ControlMetrics) -> Self {
        self.registry.register_collector(Box::new(control));
        self
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests ended", self.requests.clone());
        registry.register(
            "refusals",
            "Refusals and failures by kind",
            self.refusals.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from arrival to the first token",
            self.first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between two token events of a stream",
            self.between_tokens.clone(),
        );
        registry.register("in_flight", "Requests in progress", self.in_flight.clone());
        registry.register("attempts", "Attempts at upstreams", self.attempts.clone());
        registry.register(
            "resumes",
            "Streams resumed on a new connection",
            self.resumes.clone(),
        );
        registry.register_collector(Box::new(ProcessMetrics));
        registry.register("cancels", "Cancels sent to engines", self.cancels.clone());
    }

    pub(crate) fn count_ended(&self, service: &str, outcome: &str) {
        let labels = OutcomeLabels {
            service: service.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    pub(crate) fn count_refusal(&self, kind: &str) {
        let labels = RefusalLabels {
            kind: kind.to_owned(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn observe_first_token(&self, labels: &ClassLabels, span: Duration) {
        let histogram = self.first_token.get_or_create(labels);
        histogram.observe(span.as_secs_f64());
    }

    /// Histogram of the time between token events. A stream gets it once and observes each event, which
    /// avoids a label lookup per event.
    pub(crate) fn between_tokens_histogram(&self, labels: &ClassLabels) -> Histogram {
        self.between_tokens.get_or_create_owned(labels)
    }

    /// All metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail, so an error comes from the encoder of a metric.
        if let Err(e) = text::encode(&mut out, &self.registry) {
            spdlog::error!("failed to encode metrics", kv: { error: = e });
        }
        out
    }
}

//! [`NodeGauges`].

use std::sync::atomic::AtomicU64;

use prometheus_client::{metrics::gauge::Gauge, registry::Registry};

/// What a node knows and does at the moment of a question for its metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct GaugeValues {
    /// Whether callers should come here.
    pub(crate) ready: bool,
    /// Version of the configuration in force; 0 without any.
    pub(crate) configuration: u64,
    /// Age of the evidence in seconds; negative without any.
    pub(crate) evidence_age_s: f64,
    /// Upstreams that are known.
    pub(crate) upstreams: usize,
    /// Requests in progress.
    pub(crate) in_progress: usize,
    /// Requests that wait at this node's scheduler.
    pub(crate) waiting: usize,
    /// Requests that this node's scheduler has placed.
    pub(crate) placed: usize,
    /// Searches for an engine since the start.
    pub(crate) tries: u64,
}

/// Gauges of a node's state.
pub(crate) struct NodeGauges {
    ready: Gauge,
    configuration: Gauge,
    evidence_age: Gauge<f64, AtomicU64>,
    upstreams: Gauge,
    in_progress: Gauge,
    waiting: Gauge,
    placed: Gauge,
    tries: Gauge,
}

impl NodeGauges {
    /// Gauges at zero, registered.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let ready = gauge("ready", "1 if callers should come here");
        let configuration = gauge("configuration_version", "Version in force");
        let upstreams = gauge("upstreams", "Upstreams that are known");
        let in_progress = gauge("requests_in_progress", "Requests in progress");
        let waiting = gauge("scheduler_waiting", "Requests that wait for an engine here");
        let placed = gauge("scheduler_placed", "Requests placed from here");
        let tries = gauge("scheduler_searches", "Searches for an engine since start");
        let evidence_age = Gauge::default();
        registry.register(
            "evidence_age_seconds",
            "Age of the evidence that the configuration is current",
            evidence_age.clone(),
        );
        Self {
            ready,
            configuration,
            evidence_age,
            upstreams,
            in_progress,
            waiting,
            placed,
            tries,
        }
    }

    /// Sets all gauges.
    pub(crate) fn set(&self, reading: GaugeValues) {
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let number = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.ready.set(i64::from(reading.ready));
        self.configuration.set(number(reading.configuration));
        self.evidence_age.set(reading.evidence_age_s);
        self.upstreams.set(count(reading.upstreams));
        self.in_progress.set(count(reading.in_progress));
        self.waiting.set(count(reading.waiting));
        self.placed.set(count(reading.placed));
        self.tries.set(number(reading.tries));
    }
}

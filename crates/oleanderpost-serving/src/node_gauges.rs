//! [`NodeGauges`].

use std::sync::atomic::AtomicU64;

use prometheus_client::{metrics::gauge::Gauge, registry::Registry};

/// Values of a node's gauges at the time of a metrics request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct GaugeValues {
    /// Whether callers should send requests to this node.
    pub(crate) ready: bool,
    /// Version of the applied configuration; 0 if there is none.
    pub(crate) configuration: u64,
    /// Age of the evidence in seconds; negative if there is none.
    pub(crate) evidence_age_s: f64,
    /// Number of upstreams in the directory.
    pub(crate) upstreams: usize,
    /// Number of the store's history; 0 if it states none.
    pub(crate) store_era: u64,
    /// Number of data centres under evacuation.
    pub(crate) evacuated_data_centres: usize,
    /// Number of upstreams that limit their requests.
    pub(crate) limited_upstreams: usize,
    /// Number of upstreams that are cold.
    pub(crate) cold_upstreams: usize,
    /// Number of quarantines of prompt parts and requests that crash upstreams.
    pub(crate) quarantines: usize,
    /// Number of requests in progress.
    pub(crate) in_progress: usize,
    /// Number of requests queued at this node's scheduler.
    pub(crate) waiting: usize,
    /// Number of requests placed by this node's scheduler that have not ended.
    pub(crate) placed: usize,
    /// Number of searches for an engine since the node started.
    pub(crate) searches: u64,
    /// Bytes of the bodies of requests.
    pub(crate) request_memory: usize,
    /// Bytes of responses that are being received or passed on.
    pub(crate) response_memory: usize,
}

/// Gauges for a node's state.
pub(crate) struct NodeGauges {
    ready: Gauge,
    configuration: Gauge,
    evidence_age: Gauge<f64, AtomicU64>,
    upstreams: Gauge,
    store_era: Gauge,
    evacuated_data_centres: Gauge,
    limited_upstreams: Gauge,
    cold_upstreams: Gauge,
    quarantines: Gauge,
    in_progress: Gauge,
    waiting: Gauge,
    placed: Gauge,
    searches: Gauge,
    request_memory: Gauge,
    response_memory: Gauge,
}

impl NodeGauges {
    /// Creates and registers all gauges.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let ready = gauge("ready", "1 if callers should come here");
        let configuration = gauge("configuration_version", "Version in force");
        let upstreams = gauge("upstreams", "Upstreams that are known");
        let store_era = gauge("store_era", "Times that the store began a new history");
        let evacuated_data_centres =
            gauge("evacuated_data_centres", "Data centres under evacuation");
        let limited_upstreams = gauge("limited_upstreams", "Upstreams that limit their requests");
        let cold_upstreams = gauge(
            "cold_upstreams",
            "Upstreams that are cold and get a limited rate of requests",
        );
        let quarantines = gauge(
            "quarantines",
            "Quarantines of prompt parts and requests that crash upstreams",
        );
        let in_progress = gauge("requests_in_progress", "Requests in progress");
        let waiting = gauge("scheduler_waiting", "Requests that wait for an engine here");
        let placed = gauge("scheduler_placed", "Requests placed from here");
        let searches = gauge("scheduler_searches", "Searches for an engine since start");
        let request_memory = gauge("request_memory_bytes", "Memory of the bodies of requests");
        let response_memory = gauge(
            "response_memory_bytes",
            "Memory of responses that are being received or passed on",
        );
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
            store_era,
            evacuated_data_centres,
            limited_upstreams,
            cold_upstreams,
            quarantines,
            in_progress,
            waiting,
            placed,
            searches,
            request_memory,
            response_memory,
        }
    }

    pub(crate) fn set(&self, values: GaugeValues) {
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let number = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.ready.set(i64::from(values.ready));
        self.configuration.set(number(values.configuration));
        self.evidence_age.set(values.evidence_age_s);
        self.upstreams.set(count(values.upstreams));
        self.store_era.set(number(values.store_era));
        self.evacuated_data_centres
            .set(count(values.evacuated_data_centres));
        self.limited_upstreams.set(count(values.limited_upstreams));
        self.cold_upstreams.set(count(values.cold_upstreams));
        self.quarantines.set(count(values.quarantines));
        self.in_progress.set(count(values.in_progress));
        self.waiting.set(count(values.waiting));
        self.placed.set(count(values.placed));
        self.searches.set(number(values.searches));
        self.request_memory.set(count(values.request_memory));
        self.response_memory.set(count(values.response_memory));
    }
}

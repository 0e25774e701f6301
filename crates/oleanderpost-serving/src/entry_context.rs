//! [`EntryContext`].

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::time::timeout;

use crate::{
    AttemptError, Attempts, BootTime, DataCentreName, EngineControl, LogRateLimiter, Metrics,
    NodeState, PlainBalancer, SchedulerClient, Settings, Upstream, UpstreamCodec,
    admitted_request::AdmittedRequest,
    idle_connection_limit,
    memory_budget::MemoryBudget,
    memory_limits::MemoryLimits,
    retry_counters::RetryCounters,
    upstream_client::{EVACUATED_STEP, UpstreamClient},
    upstream_reach::UpstreamReach,
};

/// State and clients that all requests of an entry node share.
pub struct EntryContext {
    pub(crate) codec: Arc<dyn UpstreamCodec>,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) state: Arc<NodeState>,
    pub(crate) client: UpstreamClient,
    pub(crate) reach: Arc<UpstreamReach>,
    pub(crate) scheduler: Arc<SchedulerClient>,
    pub(crate) balancer: PlainBalancer,
    pub(crate) metrics: Metrics,
    retry_counters: RetryCounters,
    pub(crate) data_centre: DataCentreName,
    pub(crate) reservation_max: Duration,
    log_limiter: LogRateLimiter,
    /// Memory for the bodies of requests. All callers are one source.
    pub(crate) request_memory: Arc<MemoryBudget<()>>,
    pub(crate) in_progress: AtomicUsize,
}

impl EntryContext {
    /// Creates the shared state from the settings and the platform's implementations.
    #[must_use]
    pub fn new(
        settings: &Settings,
        codec: Arc<dyn UpstreamCodec>,
        control: Arc<dyn EngineControl>,
        state: Arc<NodeState>,
        scheduler: Arc<SchedulerClient>,
    ) -> Self {
        let memory = MemoryLimits::new(settings.memory_mb);
        let reach = Arc::new(UpstreamReach::new());
        Self {
            client: UpstreamClient::new(
                Arc::clone(&codec),
                Arc::clone(&state),
                Arc::clone(&reach),
                MemoryBudget::new(memory.responses),
            ),
            reach,
            codec,
            control,
            state,
            scheduler,
            balancer: PlainBalancer::default(),
            metrics: Metrics::new(),
            retry_counters: RetryCounters::default(),
            data_centre: settings.data_centre(),
            reservation_max: settings.reservation_max(),
            log_limiter: LogRateLimiter::new(BootTime::now()),
            request_memory: MemoryBudget::new(memory.request_bodies),
            in_progress: AtomicUsize::new(0),
        }
    }

    /// Counters and histograms of the request path.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Whether a line about a request may be logged; counts it against the rate limit for such lines.
    pub(crate) fn may_log(&self) -> bool {
        self.log_limiter.try_take(BootTime::now())
    }

    /// Drops connections and load data of upstreams that no longer exist, updates the limits on idle
    /// connections, and logs the number of suppressed log lines.
    pub fn clean_up(&self) {
        if let Some(lines) = self.log_limiter.take_suppressed(BootTime::now()) {
            spdlog::warn!("request log lines suppressed by the rate limit", kv: { lines });
        }
        let directory = self.state.directory().clone();
        let config = self.state.config();
        let nodes = self.scheduler.nodes();
        let upstreams = directory.ids().filter_map(|id| directory.get(id));
        let idle_limits = upstreams
            .filter(|upstream| directory.is_usable(&upstream.id))
            .map(|upstream| {
                let service = config
                    .as_ref()
                    .and_then(|config| config.service(&upstream.service));
                let max_connections = service.and_then(|service| service.max_connections);
                (
                    upstream.id.clone(),
                    idle_connection_limit(max_connections, nodes),
                )
            });
        self.client.pool.set_idle_limits(idle_limits.collect());
        self.balancer.retain(|id| directory.get(id).is_some());
        self.state.directory().retain_cold_times(BootTime::now());
        self.state
            .signals()
            .retain(BootTime::now(), |id| directory.get(id).is_some());
    }

    /// Time left for the request at this node: until the time limit of the request, or until the end of a drain.
    pub(crate) fn time_left(&self, request: &AdmittedRequest) -> Duration {
        let time_left = request.time_left();
        let drain = self.state.active_drain();
        drain.map_or(time_left, |drain| {
            time_left.min(drain.time_left(BootTime::now()))
        })
    }

    /// Whether the request may be sent to another upstream after failed attempts; takes the retry from the
    /// budget.
    pub(crate) async fn may_retry(&self, request: &AdmittedRequest, attempts: Attempts) -> bool {
        // A request that has not run can be relayed to a peer.
        let is_relayed = attempts.may_have_run == 0 && self.reach.is_lost();
        let terms = request.route.retry_terms();
        if is_relayed
            || self.must_not_dispatch(request)
            || self.quarantine_left(request).is_some()
            || !terms.permit(attempts, self.time_left(request))
        {
            return false;
        }
        self.take_retry(request, attempts).await
    }

    /// Takes a retry from the budget of the fleet, unless no upstream can have received the request yet. Returns `false` if
    /// the budget refuses it, or if no scheduler says before the time limit of the request.
    pub(crate) async fn take_retry(&self, request: &AdmittedRequest, attempts: Attempts) -> bool {
        if !attempts.may_have_arrived {
            return true;
        }
        let service = &request.service;
        let taken = timeout(self.time_left(request), self.scheduler.take_retry(service));
        let allowed = taken.await.unwrap_or(false);
        self.retry_counters.note_retry(service, allowed);
        self.metrics.count_retry(service, allowed);
        allowed
    }

    /// Counts a request that may be sent to upstreams, for the retry budget.
    pub(crate) fn note_request(&self, request: &AdmittedRequest) {
        let service = &request.service;
        self.scheduler.note_request(service);
        self.retry_counters.note_request(service);
        self.metrics.count_request(service);
    }

    /// Logs how many requests were sent and retried since the last call, by service.
    pub(crate) fn log_retries(&self) {
        for (service, counts) in self.retry_counters.take() {
            spdlog::info!("requests retried", kv: {
                service: = service, requests = counts.requests, retries = counts.allowed, refused = counts.refused,
                scheduler: = self.scheduler.leader()
            });
        }
    }

    /// Whether an attempt that an evacuation prevented may be made at another upstream. It costs no retry, as nothing was
    /// sent.
    pub(crate) fn may_replace(&self, request: &AdmittedRequest, e: &AttemptError) -> bool {
        e.step == EVACUATED_STEP
            && !self.time_left(request).is_zero()
            && !self.must_not_dispatch(request)
            && self.quarantine_left(request).is_none()
    }

    /// Finds out whether an upstream that has just broken off the request has crashed, and whether the request may be
    /// sent again then.
    pub(crate) async fn note_disconnected(&self, request: &AdmittedRequest, upstream: &Upstream) {
        if !self.client.has_crashed(upstream).await {
            return;
        }
        if self.may_log() {
            spdlog::info!("upstream crashed while it had a request", kv: {
                request: = request.head.id, fingerprint: = request.fingerprint(), upstream: = upstream.id,
                started_at = upstream.started_at.unwrap_or(0)
            });
        }
        let fingerprint = request.fingerprint();
        self.scheduler.report_crash(fingerprint, upstream).await;
    }

    /// Records a complete response to the request.
    pub(crate) fn note_sound(&self, request: &AdmittedRequest) {
        if !self.scheduler.crash_watch().is_idle() {
            self.scheduler.note_sound(request.fingerprint());
        }
    }

    /// Time for which the request is refused because it crashes upstreams.
    pub(crate) fn quarantine_left(&self, request: &AdmittedRequest) -> Option<Duration> {
        let watch = self.scheduler.crash_watch();
        if watch.is_idle() {
            return None;
        }
        watch.quarantine_left(request.fingerprint())
    }

    /// Whether the request must not be sent to any upstream now: its API key may have been revoked, since the
    /// configuration is not known to be current.
    pub(crate) fn must_not_dispatch(&self, request: &AdmittedRequest) -> bool {
        request.has_account() && !self.state.is_fresh()
    }
}

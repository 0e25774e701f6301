//! [`EntryContext`].

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::{
    Attempts, BootTime, DataCentreName, EngineControl, LogRateLimiter, Metrics, NodeState,
    PlainBalancer, RetryPolicy, SchedulerClient, Settings, UpstreamCodec,
    admitted_request::AdmittedRequest, body_budget::BodyBudget, idle_connection_limit,
    upstream_client::UpstreamClient,
};

/// Share of the process's memory that bodies of requests may take.
const BODY_MEMORY_SHARE: f64 = 0.25;

/// What the requests of a node share.
pub struct EntryContext {
    pub(crate) codec: Arc<dyn UpstreamCodec>,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) state: Arc<NodeState>,
    pub(crate) client: UpstreamClient,
    pub(crate) scheduler: Arc<SchedulerClient>,
    pub(crate) balancer: PlainBalancer,
    pub(crate) retries: RetryPolicy,
    pub(crate) metrics: Metrics,
    pub(crate) data_centre: DataCentreName,
    pub(crate) reservation_max: Duration,
    log: LogRateLimiter,
    pub(crate) bodies: Arc<BodyBudget>,
    pub(crate) in_progress: AtomicUsize,
}

impl EntryContext {
    /// The request path of a node.
    #[must_use]
    pub fn new(
        settings: &Settings,
        codec: Arc<dyn UpstreamCodec>,
        control: Arc<dyn EngineControl>,
        state: Arc<NodeState>,
        scheduler: Arc<SchedulerClient>,
    ) -> Self {
        let memory = settings.memory_mb as f64 * 1024.0 * 1024.0;
        Self {
            client: UpstreamClient::new(Arc::clone(&codec), Arc::clone(&state)),
            codec,
            control,
            state,
            scheduler,
            balancer: PlainBalancer::default(),
            retries: RetryPolicy::new(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window(),
            ),
            metrics: Metrics::new(),
            data_centre: settings.data_centre(),
            reservation_max: settings.reservation_max(),
            log: LogRateLimiter::new(BootTime::now()),
            bodies: BodyBudget::new((memory * BODY_MEMORY_SHARE) as usize),
            in_progress: AtomicUsize::new(0),
        }
    }

    /// Counters and histograms.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Whether a line about a request may be written to the log.
    pub(crate) fn may_log(&self) -> bool {
        self.log.try_take(BootTime::now())
    }

    /// Forgets what belongs to upstreams that are gone.
    pub fn clean_up(&self) {
        if let Some(lines) = self.log.take_suppressed(BootTime::now()) {
            spdlog::warn!("lines about requests left out of the log", kv: { lines });
        }
        let directory = self.state.directory().clone();
        let deployment = self.state.config();
        let nodes = self.scheduler.nodes();
        let usable = directory.ids().filter_map(|id| directory.get(id));
        let shares = usable.filter(|u| directory.is_usable(&u.id)).map(|u| {
            let service = deployment.as_ref().and_then(|d| d.service(&u.service));
            let most = service.and_then(|service| service.max_connections);
            (u.id.clone(), idle_connection_limit(most, nodes))
        });
        self.client.pool.set_shares(shares.collect());
        self.balancer.retain(|id| directory.get(id).is_some());
    }

    /// Whether the call goes to another upstream after `attempts` have failed; takes it from the budget.
    pub(crate) fn may_retry(&self, call: &AdmittedRequest, attempts: Attempts) -> bool {
        !self.must_not_dispatch(call)
            && self.retries.allows(
                call.route.retry_terms(),
                &call.service,
                attempts,
                call.time_left(),
                self.scheduler.nodes(),
                BootTime::now(),
            )
    }

    /// Whether the call may not go to any upstream now: its key may have been taken away.
    pub(crate) fn must_not_dispatch(&self, call: &AdmittedRequest) -> bool {
        call.has_account() && !self.state.is_fresh()
    }
}

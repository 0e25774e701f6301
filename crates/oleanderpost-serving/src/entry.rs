//! [`Entry`].

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    AnswerBody, BootTime, DataCentreName, Deployment, EngineControl, LogBudget, Metrics, NodeState,
    PlainBalancer, Rejection, RetryPolicy, Route, SchedulerClient, Settings, UpstreamCodec,
    call::Call, plain_task::PlainTask, stream_task::StreamTask, upstream_client::UpstreamClient,
};

/// Share of the process's memory that bodies of requests may take.
const BODY_MEMORY_SHARE: f64 = 0.25;
/// Longest time for the body of a request, if its deadline is not shorter.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Time after which a request that met a node short of memory should come back.
const MEMORY_WAIT: Duration = Duration::from_millis(300);

/// Takes callers' requests and has them served.
pub struct Entry {
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
    log: LogBudget,
    body_memory: usize,
    body_bytes: AtomicUsize,
    in_progress: AtomicUsize,
}

impl Entry {
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
            log: LogBudget::new(BootTime::now()),
            body_memory: (memory * BODY_MEMORY_SHARE) as usize,
            body_bytes: AtomicUsize::new(0),
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
    pub(crate) fn logs(&self) -> bool {
        self.log.admits(BootTime::now())
    }

    /// Forgets what belongs to upstreams that are gone.
    pub fn tidy(&self) {
        if let Some(lines) = self.log.take_left_out(BootTime::now()) {
            spdlog::warn!("lines about requests left out of the log", kv: { lines });
        }
        let directory = self.state.directory().clone();
        self.client.pool.retain(|id| directory.is_usable(id));
        self.balancer.retain(|id| directory.get(id).is_some());
    }

    /// Serves one request.
    pub async fn serve(self: &Arc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = BootTime::now();
        let progress = Progress::new(Arc::clone(self));
        let (parts, body) = req.into_parts();
        let parts = Arc::new(parts);
        let call = match self.admit(arrived, &parts, body).await {
            Ok(call) => call,
            Err(rejection) => return self.reject(&parts, rejection),
        };
        self.retries.note_request(&call.service, arrived);
        if call.route.kind.is_stream() {
            StreamTask::new(Arc::clone(self), call, progress)
                .run()
                .await
        } else {
            PlainTask::new(self, &call).run().await
        }
    }

    /// Whether the call may not go to any upstream now: its key may have been taken away.
    pub(crate) fn must_not_dispatch(&self, call: &Call) -> bool {
        call.is_keyed() && !self.state.is_fresh()
    }

    /// Reads a request and checks whether it may be served.
    async fn admit(
        &self,
        arrived: BootTime,
        parts: &Arc<http::request::Parts>,
        body: Incoming,
    ) -> Result<Call, Rejection> {
        let head = self.codec.call(parts).map_err(Rejection::Malformed)?;
        let deployment = self.state.deployment().ok_or(Rejection::NotReady)?;
        let fresh = self.state.is_fresh();
        let Some(route) = deployment.route(&head.host, parts.uri.path()) else {
            // An old configuration may lack a route that was added since.
            return Err(if fresh {
                Rejection::NoRoute
            } else {
                Rejection::NotReady
            });
        };
        let account = if deployment.needs_keys() && !route.open {
            if !fresh {
                return Err(Rejection::NotReady);
            }
            let account = head.key.as_deref().and_then(|key| deployment.account(key));
            Some(Arc::clone(account.ok_or(Rejection::UnknownKey)?))
        } else {
            None
        };
        let longest = head
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        if self
            .state
            .draining()
            .is_some_and(|drain| !drain.admits(arrived, longest))
        {
            return Err(Rejection::Draining);
        }
        let service = route
            .service(draw(&head.id))
            .cloned()
            .ok_or(Rejection::NotReady)?;
        let body = self
            .read_body(&deployment, route, head.deadline, body)
            .await?;
        Ok(Call {
            head,
            parts: Arc::clone(parts),
            body,
            route: Arc::clone(route),
            account,
            service,
            version: deployment.version(),
            arrived,
        })
    }

    async fn read_body(
        &self,
        deployment: &Deployment,
        route: &Route,
        deadline: Option<Duration>,
        body: Incoming,
    ) -> Result<Bytes, Rejection> {
        let most = deployment.limits().body_bytes;
        let held = self.body_bytes.load(Ordering::Relaxed);
        if held + most.min(self.body_memory) > self.body_memory * 2 {
            return Err(Rejection::Busy(MEMORY_WAIT));
        }
        let limit = BODY_LIMIT
            .min(route.timeout)
            .min(deadline.unwrap_or(BODY_LIMIT));
        let read = timeout(limit, Limited::new(body, most).collect()).await;
        let read = read.map_err(|_| Rejection::SlowCaller)?;
        match read {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => Err(Rejection::TooLarge),
            Err(_) => Err(Rejection::Malformed("the body broke off")),
        }
    }

    /// Answers a request that is not served, and says why in the log.
    fn reject(&self, parts: &http::request::Parts, rejection: Rejection) -> Response<AnswerBody> {
        self.metrics.rejected(rejection);
        let id = self
            .codec
            .call(parts)
            .map_or_else(|_| String::new(), |head| head.id.to_string());
        let version = self
            .state
            .deployment()
            .map_or(0, |deployment| deployment.version());
        let age = self
            .state
            .evidence_age()
            .map_or(-1.0, |age| age.as_secs_f64() * 1e3);
        spdlog::info!("request not admitted", kv: {
            request = id.as_str(), reason = rejection.name(), status = rejection.status().as_u16(),
            version, evidence_age_ms = age as i64
        });
        rejection.response()
    }
}

/// Uniform number of a request: the same for each look at it.
fn draw(id: &crate::CallId) -> u32 {
    // FNV-1a (Fowler, Noll, Vo), 32 bits; identifiers are random, so any spread will do.
    id.as_str().bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

/// Counts a request as in progress while it lives.
pub(crate) struct Progress {
    entry: Arc<Entry>,
}

impl Progress {
    fn new(entry: Arc<Entry>) -> Self {
        entry.in_progress.fetch_add(1, Ordering::AcqRel);
        Self { entry }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.entry.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

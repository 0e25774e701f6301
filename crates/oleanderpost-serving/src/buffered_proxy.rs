//! [`BufferedProxy`].

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, response::Parts};

use crate::{
    AttemptError, AttemptHeaders, Attempts, BootTime, EntryContext, Rejection, ResponseBody,
    RunStatus, Upstream, UpstreamId,
    admitted_request::AdmittedRequest,
    peer_relay::PeerRelay,
    plain_selector::PlainSelector,
    upstream_client::{EVACUATED_STEP, MISDIRECTED_STEP, NO_PATH_STEP},
    upstream_response::caller_response,
};

/// Shortest timeout of an attempt that others may follow: a busy node or network delays any response for as long.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay after which a caller should retry a request that upstreams have refused.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Response of an upstream with its complete body.
struct BufferedResponse {
    parts: Parts,
    body: Bytes,
}

/// Forwards one request whose response is not a stream, and buffers the response.
pub(crate) struct BufferedProxy<'a> {
    entry: &'a Arc<EntryContext>,
    request: &'a AdmittedRequest,
    attempts: Attempts,
    tried_upstreams: Vec<UpstreamId>,
    /// Last 5xx response of an upstream; forwarded to the caller if no attempt succeeds.
    upstream_failure: Option<BufferedResponse>,
    /// Delay after which the caller should retry if the request is rejected.
    retry_after: Duration,
}

impl<'a> BufferedProxy<'a> {
    pub(crate) fn new(entry: &'a Arc<EntryContext>, request: &'a AdmittedRequest) -> Self {
        Self {
            entry,
            request,
            attempts: Attempts::default(),
            tried_upstreams: Vec::new(),
            upstream_failure: None,
            retry_after: FAILED_RETRY_AFTER,
        }
    }

    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        loop {
            let chosen = PlainSelector::new(self.entry, self.request)
                .select(&self.tried_upstreams)
                .await;
            let upstream = match chosen {
                Ok(upstream) => upstream,
                Err(retry_after) => {
                    self.retry_after = retry_after;
                    return self.finish_failed(None).await;
                }
            };
            let attempt = self.attempt(&upstream).await;
            if attempt.is_ok() {
                self.entry.note_sound(self.request);
            }
            match attempt {
                Ok(response) if response.parts.status.is_server_error() => {
                    self.attempts.note_failure(RunStatus::MayHaveRun);
                    self.tried_upstreams.push(upstream.id.clone());
                    self.upstream_failure = Some(response);
                    if !self.may_retry().await {
                        return self.finish_failed(None).await;
                    }
                }
                Ok(response) => return self.respond(&response, &upstream.id),
                Err(e) => {
                    self.record_failed_attempt(&e);
                    if self.entry.may_replace(self.request, &e) {
                        continue;
                    }
                    if e.disconnected {
                        self.entry.note_disconnected(self.request, &upstream).await;
                    }
                    if !self.may_retry().await {
                        return self.finish_failed(Some(&e)).await;
                    }
                }
            }
        }
    }

    async fn may_retry(&self) -> bool {
        self.entry.may_retry(self.request, self.attempts).await
    }

    async fn attempt(&self, upstream: &Upstream) -> Result<BufferedResponse, AttemptError> {
        let request = self.request;
        let in_progress = UpstreamRequestGuard::new(self.entry, &upstream.id);
        let started = Instant::now();
        let headers = AttemptHeaders {
            upstream: &upstream.id,
            deadline: self.entry.time_left(request),
            account: request.account.as_ref().map(|account| &account.name),
            priority: None,
            helpers: Vec::new(),
            last_event_id: request.head.last_event_id,
        };
        let time_limit = self.attempt_timeout(&upstream.id);
        let response = self
            .entry
            .client
            .send(request, upstream, headers, time_limit)
            .await?;
        let load = response.head.load;
        let time_left = time_limit.saturating_sub(started.elapsed());
        let collected = response.collect(&self.entry.client, time_left).await;
        let (parts, body) = collected.map_err(|e| e.into_attempt_error(&upstream.id))?;
        let failed = parts.status.is_server_error();
        self.entry.balancer.note_response(
            &upstream.id,
            failed,
            started.elapsed(),
            load,
            BootTime::now(),
        );
        drop(in_progress);
        Ok(BufferedResponse { parts, body })
    }

    /// Timeout of the current attempt: all the time that is left if no other attempt may follow. Otherwise the attempt ends
    /// when its response is probably lost, and leaves as much time to another one as it takes.
    fn attempt_timeout(&self, upstream: &UpstreamId) -> Duration {
        let time_left = self.entry.time_left(self.request);
        let route = &self.request.route;
        let is_last =
            !route.kind.is_repeatable() || self.attempts.may_have_run + 1 >= route.max_attempts;
        if is_last {
            return time_left;
        }
        let loss_timeout = self.entry.balancer.loss_timeout(upstream);
        let attempt_time =
            loss_timeout.map_or(time_left, |timeout| timeout.max(MIN_ATTEMPT_TIMEOUT));
        attempt_time.min(time_left / 2)
    }

    fn record_failed_attempt(&mut self, e: &AttemptError) {
        self.entry.metrics.count_failed_attempt(e);
        if e.step != EVACUATED_STEP {
            self.attempts.note_error(e);
        }
        self.tried_upstreams.push(e.upstream.clone());
        if e.ran == RunStatus::InstanceGone {
            self.entry.state.directory().mark_leaving(&e.upstream);
        } else if !matches!(
            e.step,
            "check" | EVACUATED_STEP | NO_PATH_STEP | MISDIRECTED_STEP
        ) {
            self.entry.balancer.note_error(e, BootTime::now());
        }
        let upstream = self.entry.state.usable_upstream(&e.upstream);
        if upstream.is_some_and(|upstream| self.entry.state.pause_left(&upstream).is_some()) {
            self.entry.balancer.note_pause(&e.upstream);
        }
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("attempt failed", kv: {
            request: = self.request.head.id, upstream: = e.upstream, step = e.step, may_have_run = e.ran.may_have_run(),
            arrived = e.may_have_arrived(), cause = e.cause.as_str(), fingerprint = self.request.fingerprint_text(e).as_str()
        });
    }

    fn respond(
        &self,
        response: &BufferedResponse,
        upstream: &UpstreamId,
    ) -> Response<ResponseBody> {
        self.log_end("answered", response.parts.status.as_u16(), Some(upstream));
        self.entry
            .metrics
            .observe_response(&self.request.route.name, self.request.elapsed());
        caller_response(&response.parts, ResponseBody::new(response.body.clone()))
    }

    /// Responds when no attempt has succeeded: with the last 5xx response of an upstream, or with a
    /// rejection.
    async fn finish_failed(mut self, last_error: Option<&AttemptError>) -> Response<ResponseBody> {
        if let Some(response) = self.upstream_failure.take() {
            self.log_end(
                "upstream's failure passed on",
                response.parts.status.as_u16(),
                self.tried_upstreams.last(),
            );
            return caller_response(&response.parts, ResponseBody::new(response.body));
        }
        let is_evacuated = self.entry.state.is_service_evacuated(&self.request.service);
        if self.attempts.may_have_run == 0
            && !is_evacuated
            && let Some(response) = PeerRelay::new(self.entry)
                .forward(self.request, self.attempts)
                .await
        {
            return response;
        }
        let rejection =
            if self.attempts.may_have_run == 0 && self.entry.must_not_dispatch(self.request) {
                Rejection::NotReady
            } else if self.attempts.may_have_run == 0 {
                match self.entry.quarantine_left(self.request) {
                    Some(left) => Rejection::Quarantined(left),
                    None if is_evacuated => Rejection::Evacuated,
                    None => Rejection::Busy(self.retry_after),
                }
            } else if self.request.time_left().is_zero() {
                Rejection::TimedOut
            } else {
                Rejection::UpstreamFailed
            };
        self.entry.metrics.count_rejection(rejection);
        let upstream = last_error.map(|e| &e.upstream);
        self.log_end(rejection.name(), rejection.status().as_u16(), upstream);
        rejection.response()
    }

    fn log_end(&self, outcome: &str, status: u16, upstream: Option<&UpstreamId>) {
        if !self.entry.may_log() {
            return;
        }
        let upstream = upstream.map_or("", UpstreamId::as_str);
        spdlog::info!("request ended", kv: {
            request: = self.request.head.id, route: = self.request.route.name, outcome = outcome, status,
            upstream = upstream, attempts = self.attempts.may_have_run, refusals = self.attempts.not_run,
            ms = self.request.elapsed().as_millis() as u64, version = self.request.config_version
        });
    }
}

/// Counts a request as in progress at an upstream until it is dropped.
struct UpstreamRequestGuard<'a> {
    entry: &'a EntryContext,
    id: UpstreamId,
}

impl<'a> UpstreamRequestGuard<'a> {
    fn new(entry: &'a EntryContext, id: &UpstreamId) -> Self {
        entry.balancer.begin_request(id);
        Self {
            entry,
            id: id.clone(),
        }
    }
}

impl Drop for UpstreamRequestGuard<'_> {
    fn drop(&mut self) {
        self.entry.balancer.end_request(&self.id);
    }
}

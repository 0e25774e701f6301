//! [`BufferedProxy`].

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Response, response::Parts};

use crate::{
    AttemptError, AttemptHeaders, Attempts, BootTime, EntryContext, Rejection, ResponseBody,
    RunStatus, Upstream, UpstreamId, admitted_request::AdmittedRequest,
    upstream_response::response,
};

/// Least time for one of several attempts.
const ATTEMPT_LEAST: Duration = Duration::from_millis(150);
/// Attempt's time as a multiple of the objective, while others may follow.
const ATTEMPT_OBJECTIVES: u32 = 2;
/// Time after which a request refused for want of upstreams should come back.
const COME_BACK: Duration = Duration::from_millis(150);

/// A whole answer of an upstream.
struct Whole {
    parts: Parts,
    body: Bytes,
}

/// Serves one request whose answer is no stream.
pub(crate) struct BufferedProxy<'a> {
    entry: &'a EntryContext,
    call: &'a AdmittedRequest,
    attempts: Attempts,
    tried: Vec<UpstreamId>,
    /// The upstream's own failure, if one was answered.
    failure: Option<Whole>,
}

impl<'a> BufferedProxy<'a> {
    pub(crate) fn new(entry: &'a EntryContext, call: &'a AdmittedRequest) -> Self {
        Self {
            entry,
            call,
            attempts: Attempts::default(),
            tried: Vec::new(),
            failure: None,
        }
    }

    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        loop {
            let upstreams = self.entry.state.usable_upstreams(&self.call.service);
            let now = BootTime::now();
            let chosen =
                self.entry
                    .balancer
                    .choose(&upstreams, &self.tried, &self.entry.data_centre, now);
            let Some(upstream) = chosen else {
                return self.give_up(None);
            };
            match self.attempt(&upstream).await {
                Ok(whole) if whole.parts.status.is_server_error() => {
                    self.attempts.note_failure(RunStatus::MayHaveRun);
                    self.tried.push(upstream.id.clone());
                    self.failure = Some(whole);
                    if !self.may_retry() {
                        return self.give_up(None);
                    }
                }
                Ok(whole) => return self.answer(&whole, &upstream.id),
                Err(e) => {
                    self.note_error(&e);
                    if !self.may_retry() {
                        return self.give_up(Some(&e));
                    }
                }
            }
        }
    }

    fn may_retry(&self) -> bool {
        self.entry.may_retry(self.call, self.attempts)
    }

    async fn attempt(&self, upstream: &Upstream) -> Result<Whole, AttemptError> {
        let call = self.call;
        let begun = InProgress::new(self.entry, &upstream.id);
        let started = Instant::now();
        let head = AttemptHeaders {
            upstream: &upstream.id,
            deadline: call.time_left(),
            account: call.account.as_ref().map(|account| &account.name),
            priority: None,
            helpers: Vec::new(),
            last_event_id: call.head.last_event_id,
        };
        let wait = self.attempt_limit();
        let answer = self.entry.client.send(call, upstream, head, wait).await?;
        let load = answer.head.load;
        let left = wait.saturating_sub(started.elapsed());
        let collected = answer.collect(&self.entry.client.pool, left).await;
        let (parts, body) = collected.map_err(|cause| {
            AttemptError::new("read answer", &upstream.id, RunStatus::MayHaveRun, cause)
        })?;
        let failed = parts.status.is_server_error();
        self.entry.balancer.note_answer(
            &upstream.id,
            failed,
            started.elapsed(),
            load,
            BootTime::now(),
        );
        drop(begun);
        Ok(Whole { parts, body })
    }

    /// Time for the present attempt: all that is left for the last one.
    fn attempt_limit(&self) -> Duration {
        let left = self.call.time_left();
        let route = &self.call.route;
        let last =
            !route.kind.is_repeatable() || self.attempts.may_have_run + 1 >= route.max_attempts;
        if last {
            return left;
        }
        let share = (route.objective * ATTEMPT_OBJECTIVES).max(ATTEMPT_LEAST);
        share.min(left / 2)
    }

    fn note_error(&mut self, e: &AttemptError) {
        self.attempts.note_failure(e.ran);
        self.entry.metrics.attempt_failed(e);
        self.tried.push(e.upstream.clone());
        if e.ran == RunStatus::InstanceGone {
            self.entry.state.directory().mark_leaving(&e.upstream);
        } else if e.step != "check" {
            self.entry.balancer.note_error(e, BootTime::now());
        }
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("attempt failed", kv: {
            request: = self.call.head.id, upstream: = e.upstream, step = e.step, may_have_run = e.ran.may_have_run(),
            cause = e.cause.as_str()
        });
    }

    fn answer(&self, whole: &Whole, upstream: &UpstreamId) -> Response<ResponseBody> {
        self.log("answered", whole.parts.status.as_u16(), Some(upstream));
        self.entry
            .metrics
            .answered(&self.call.route.name, self.call.elapsed());
        response(&whole.parts, ResponseBody::new(whole.body.clone()))
    }

    fn give_up(mut self, last: Option<&AttemptError>) -> Response<ResponseBody> {
        if let Some(whole) = self.failure.take() {
            self.log(
                "upstream's failure passed on",
                whole.parts.status.as_u16(),
                self.tried.last(),
            );
            return response(&whole.parts, ResponseBody::new(whole.body));
        }
        let rejection =
            if self.attempts.may_have_run == 0 && self.entry.must_not_dispatch(self.call) {
                Rejection::NotReady
            } else if self.attempts.may_have_run == 0 {
                Rejection::Busy(COME_BACK)
            } else if self.call.time_left().is_zero() {
                Rejection::TimedOut
            } else {
                Rejection::UpstreamFailed
            };
        self.entry.metrics.rejected(rejection);
        let upstream = last.map(|e| &e.upstream);
        self.log(rejection.name(), rejection.status().as_u16(), upstream);
        rejection.response()
    }

    fn log(&self, outcome: &str, status: u16, upstream: Option<&UpstreamId>) {
        if !self.entry.may_log() {
            return;
        }
        let upstream = upstream.map_or("", UpstreamId::as_str);
        spdlog::info!("request ended", kv: {
            request: = self.call.head.id, route: = self.call.route.name, outcome = outcome, status,
            upstream = upstream, attempts = self.attempts.may_have_run, refusals = self.attempts.not_run,
            ms = self.call.elapsed().as_millis() as u64, version = self.call.config_version
        });
    }
}

/// Counts a request at an upstream while it lives.
struct InProgress<'a> {
    entry: &'a EntryContext,
    id: UpstreamId,
}

impl<'a> InProgress<'a> {
    fn new(entry: &'a EntryContext, id: &UpstreamId) -> Self {
        entry.balancer.begin_request(id);
        Self {
            entry,
            id: id.clone(),
        }
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.entry.balancer.end_request(&self.id);
    }
}

//! [`UpstreamClient`].

use std::{io::ErrorKind, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;

use crate::{
    AttemptError, AttemptHeaders, BootTime, NodeState, RunStatus, Upstream, UpstreamCodec,
    UpstreamId,
    admitted_request::AdmittedRequest,
    body_reader::discard_body,
    client_connection::is_final_status,
    memory_budget::MemoryBudget,
    upstream_pool::{UpstreamConnection, UpstreamPool},
    upstream_reach::UpstreamReach,
    upstream_response::UpstreamResponse,
};

/// Time limit for reading the rest of an unused response, so that its connection can be reused.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest rest of an unused response that is read. A longer one costs more than another connection.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Largest body of a refused request after which the connection is used again.
const MAX_UNREAD_BYTES: usize = 64 << 10;
/// Step of attempts that failed because this node reaches no upstream; says nothing about the upstream.
pub(crate) const NO_PATH_STEP: &str = "no path";
/// Step of attempts that were answered with status 421. It says nothing about the expected process: another one may
/// have its address for a moment, or it may be cold. Its entry tells whether it is gone.
pub(crate) const MISDIRECTED_STEP: &str = "misdirected";

/// Step of attempts that the upstream refused without running the request.
pub(crate) const REFUSED_STEP: &str = "refused";

/// Step of attempts that were not sent because a data centre is evacuated; says nothing about the upstream.
pub(crate) const EVACUATED_STEP: &str = "evacuated";

/// Sends requests to upstreams.
pub(crate) struct UpstreamClient {
    pub(crate) pool: Arc<UpstreamPool>,
    /// Memory for responses that are being received or passed on, by upstream.
    pub(crate) response_memory: Arc<MemoryBudget<UpstreamId>>,
    codec: Arc<dyn UpstreamCodec>,
    state: Arc<NodeState>,
    reach: Arc<UpstreamReach>,
}

impl UpstreamClient {
    pub(crate) fn new(
        codec: Arc<dyn UpstreamCodec>,
        state: Arc<NodeState>,
        reach: Arc<UpstreamReach>,
        response_memory: Arc<MemoryBudget<UpstreamId>>,
    ) -> Self {
        Self {
            pool: UpstreamPool::new(),
            response_memory,
            codec,
            state,
            reach,
        }
    }

    /// Sends the request once and waits up to `time_limit` for the head of the response.
    ///
    /// Whether the request may still be sent is checked after the connection is open, just before the first
    /// byte is written, since the process may have been suspended in the meantime.
    pub(crate) async fn send(
        &self,
        request: &AdmittedRequest,
        upstream: &Upstream,
        headers: AttemptHeaders<'_>,
        time_limit: Duration,
    ) -> Result<UpstreamResponse, AttemptError> {
        let connection = match self.pool.acquire(upstream).await {
            Ok(connection) => connection,
            Err(cause) => {
                let is_lost = self.reach.check(&self.state).await;
                let step = if is_lost { NO_PATH_STEP } else { "connect" };
                let ran = RunStatus::NotRun;
                return Err(AttemptError::new(step, &upstream.id, ran, cause));
            }
        };
        self.check_before_send(request, upstream, &headers)?;
        let headers = AttemptHeaders {
            deadline: headers.deadline.min(request.time_left()),
            ..headers
        };
        let upstream_request =
            self.codec
                .build_request(&request.parts, &headers, request.body.clone());
        request.dispatch.begin_attempt();
        let exchanged = self
            .exchange(request, upstream, connection, upstream_request, time_limit)
            .await;
        if let Err(e) = &exchanged {
            request.dispatch.end_failed_attempt(e.ran);
        }
        exchanged
    }

    /// Writes the request to the connection and waits up to `time_limit` for the head of the response.
    async fn exchange(
        &self,
        request: &AdmittedRequest,
        upstream: &Upstream,
        mut connection: UpstreamConnection,
        upstream_request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<UpstreamResponse, AttemptError> {
        let sent_at = BootTime::now();
        let waiting = self.reach.wait();
        let sent = timeout(
            time_limit,
            connection.sender().send_request(upstream_request),
        )
        .await;
        drop(waiting);
        let sent = sent.map_err(|_| {
            AttemptError::new(
                "await answer",
                &upstream.id,
                RunStatus::MayHaveRun,
                "timed out while waiting for the response",
            )
        })?;
        let resp = sent.map_err(|e| match e {
            e if e.is_canceled() => AttemptError::new("send", &upstream.id, RunStatus::NotRun, e),
            e if e.is_parse() => AttemptError::new("send", &upstream.id, RunStatus::MayHaveRun, e),
            e => AttemptError::new_disconnected("send", &upstream.id, e),
        })?;
        self.reach.note_response();
        let (parts, body) = resp.into_parts();
        let head = self.codec.parse_response(&parts);
        let response = UpstreamResponse {
            parts,
            head,
            body,
            connection,
        };
        self.check_response(request, upstream, response, sent_at)
    }

    /// Fails if the request must not be sent to the upstream now.
    fn check_before_send(
        &self,
        request: &AdmittedRequest,
        upstream: &Upstream,
        headers: &AttemptHeaders<'_>,
    ) -> Result<(), AttemptError> {
        let refuse = |cause| {
            Err(AttemptError::new(
                "check",
                &upstream.id,
                RunStatus::NotRun,
                cause,
            ))
        };
        if request.time_left().is_zero() {
            return refuse("time limit of the request has passed");
        }
        if request.has_account() && !self.state.is_fresh() {
            return refuse("the configuration is not known to be current");
        }
        if let Some(cause) = self.evacuation(upstream, headers) {
            let ran = RunStatus::NotRun;
            return Err(AttemptError::new(EVACUATED_STEP, &upstream.id, ran, cause));
        }
        if self.state.usable_upstream(&upstream.id).is_none() {
            return Err(AttemptError::new(
                "check",
                &upstream.id,
                RunStatus::InstanceGone,
                "upstream is shutting down or was removed",
            ));
        }
        if self.state.pause_left(upstream).is_some() {
            return refuse("the upstream wants a pause from this node");
        }
        Ok(())
    }

    /// Why evacuations forbid the attempt, if they do. The upstream itself may be used again after them, unlike one that
    /// is shutting down.
    fn evacuation(
        &self,
        upstream: &Upstream,
        headers: &AttemptHeaders<'_>,
    ) -> Option<&'static str> {
        let directory = self.state.directory();
        let listed = directory.get(&upstream.id);
        if directory.is_evacuated(upstream) || listed.is_some_and(|u| directory.is_evacuated(u)) {
            return Some("the data centre of the upstream is evacuated");
        }
        let mut helpers = headers.helpers.iter();
        helpers
            .any(|helper| directory.is_evacuated_address(helper.address))
            .then_some("the data centre of a helper is evacuated")
    }

    /// Fails if the response is a refusal, or not a genuine response to this request. Records what the upstream
    /// states about itself.
    fn check_response(
        &self,
        request: &AdmittedRequest,
        upstream: &Upstream,
        response: UpstreamResponse,
        sent_at: BootTime,
    ) -> Result<UpstreamResponse, AttemptError> {
        let head = &response.head;
        if head
            .request_id
            .as_ref()
            .is_some_and(|id| *id != request.head.id)
        {
            return Err(AttemptError::new(
                "await answer",
                &upstream.id,
                RunStatus::MayHaveRun,
                "response to another request",
            ));
        }
        let status = response.parts.status;
        if !is_final_status(status) {
            return Err(AttemptError::new(
                "await answer",
                &upstream.id,
                RunStatus::MayHaveRun,
                format!("{status} is not the status of an answer"),
            ));
        }
        if status.is_success() && !head.has_origin_proof {
            return Err(AttemptError::new(
                "await answer",
                &upstream.id,
                RunStatus::MayHaveRun,
                "successful response without proof of origin",
            ));
        }
        if head.wrong_upstream {
            self.discard(response);
            return Err(AttemptError::new(
                MISDIRECTED_STEP,
                &upstream.id,
                RunStatus::NotRun,
                "another process has this address, or it refuses the request",
            ));
        }
        self.state.note_response(upstream, head, sent_at);
        if head.not_run {
            let closes = head.closes_connection;
            // The next request would wait behind a long body that the upstream has not read.
            if request.body.len() <= MAX_UNREAD_BYTES {
                self.discard(response);
            }
            let ran = if closes && status == StatusCode::SERVICE_UNAVAILABLE {
                RunStatus::InstanceGone
            } else {
                RunStatus::NotRun
            };
            return Err(AttemptError::new(REFUSED_STEP, &upstream.id, ran, status));
        }
        Ok(response)
    }

    /// Reads the rest of a response in the background, so that its connection can be reused.
    fn discard(&self, response: UpstreamResponse) {
        let UpstreamResponse {
            head,
            body,
            connection,
            ..
        } = response;
        if !head.allows_reuse() {
            return;
        }
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            let discarded = discard_body(body, MAX_DISCARDED_BYTES);
            if let Ok(Ok(())) = timeout(DISCARD_TIMEOUT, discarded).await {
                pool.release(connection, head.keep_alive);
            }
        });
    }

    /// Whether an upstream that has just broken off a request refuses connections, which means that its process is
    /// gone; a lost path to all upstreams would look the same.
    pub(crate) async fn has_crashed(&self, upstream: &Upstream) -> bool {
        let probed = self.pool.probe(upstream).await;
        let is_refused = probed.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused);
        is_refused && !self.reach.check(&self.state).await
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub(crate) fn release(&self, connection: UpstreamConnection, keep_alive: Option<Duration>) {
        self.pool.release(connection, keep_alive);
    }
}

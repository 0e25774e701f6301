//! [`UpstreamClient`].

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::{
    AttemptError, AttemptHeaders, NodeState, RunStatus, Upstream, UpstreamCodec,
    admitted_request::AdmittedRequest,
    upstream_pool::{UpstreamConnection, UpstreamPool},
    upstream_response::UpstreamResponse,
};

/// Time for reading the rest of an answer that is not used, so that its connection can be kept.
const DISCARD_LIMIT: Duration = Duration::from_millis(200);

/// Sends requests to upstreams, one attempt at a time.
pub(crate) struct UpstreamClient {
    pub(crate) pool: Arc<UpstreamPool>,
    codec: Arc<dyn UpstreamCodec>,
    state: Arc<NodeState>,
}

impl UpstreamClient {
    pub(crate) fn new(codec: Arc<dyn UpstreamCodec>, state: Arc<NodeState>) -> Self {
        Self {
            pool: UpstreamPool::new(),
            codec,
            state,
        }
    }

    /// Sends the request and waits for the head of its answer.
    ///
    /// Whether the request may still run is checked after the connection is there, right before the first
    /// byte is written: the process may have been suspended meanwhile.
    pub(crate) async fn send(
        &self,
        call: &AdmittedRequest,
        to: &Upstream,
        head: AttemptHeaders<'_>,
        wait: Duration,
    ) -> Result<UpstreamResponse, AttemptError> {
        let connection = self.pool.connection(to).await;
        let mut connection = connection
            .map_err(|cause| AttemptError::new("connect", &to.id, RunStatus::NotRun, cause))?;
        self.check(call, to)?;
        let head = AttemptHeaders {
            deadline: head.deadline.min(call.time_left()),
            ..head
        };
        let req = self
            .codec
            .build_request(&call.parts, &head, call.body.clone());
        let sent = timeout(wait, connection.sender.send_request(req)).await;
        let sent = sent.map_err(|_| {
            AttemptError::new(
                "await answer",
                &to.id,
                RunStatus::MayHaveRun,
                "no answer in time",
            )
        })?;
        let resp = sent.map_err(|e| {
            let ran = if e.is_canceled() {
                RunStatus::NotRun
            } else {
                RunStatus::MayHaveRun
            };
            AttemptError::new("send", &to.id, ran, e)
        })?;
        let (parts, body) = resp.into_parts();
        let head = self.codec.parse_response(&parts);
        let answer = UpstreamResponse {
            parts,
            head,
            body,
            connection,
        };
        self.sort(call, to, answer)
    }

    /// Whether the request may be sent now.
    fn check(&self, call: &AdmittedRequest, to: &Upstream) -> Result<(), AttemptError> {
        let refuse = |cause| Err(AttemptError::new("check", &to.id, RunStatus::NotRun, cause));
        if call.time_left().is_zero() {
            return refuse("time is up");
        }
        if call.has_account() && !self.state.is_fresh() {
            return refuse("the configuration is not known to be current");
        }
        if self.state.usable_upstream(&to.id).is_none() {
            return Err(AttemptError::new(
                "check",
                &to.id,
                RunStatus::InstanceGone,
                "the upstream is leaving",
            ));
        }
        Ok(())
    }

    /// Tells refusals and foreign answers from answers to the request.
    fn sort(
        &self,
        call: &AdmittedRequest,
        to: &Upstream,
        answer: UpstreamResponse,
    ) -> Result<UpstreamResponse, AttemptError> {
        let head = &answer.head;
        if head
            .request_id
            .as_ref()
            .is_some_and(|id| *id != call.head.id)
        {
            return Err(AttemptError::new(
                "await answer",
                &to.id,
                RunStatus::MayHaveRun,
                "answer to another request",
            ));
        }
        if answer.parts.status.is_success() && !head.has_origin_proof {
            return Err(AttemptError::new(
                "await answer",
                &to.id,
                RunStatus::MayHaveRun,
                "success without proof of origin",
            ));
        }
        if head.wrong_upstream {
            self.discard(answer);
            return Err(AttemptError::new(
                "refused",
                &to.id,
                RunStatus::InstanceGone,
                "another upstream has the address",
            ));
        }
        if head.not_run {
            let (status, closes) = (answer.parts.status, head.closes_connection);
            self.discard(answer);
            let ran = if closes && status == StatusCode::SERVICE_UNAVAILABLE {
                RunStatus::InstanceGone
            } else {
                RunStatus::NotRun
            };
            return Err(AttemptError::new("refused", &to.id, ran, status));
        }
        Ok(answer)
    }

    /// Reads the rest of an answer in the background, so that its connection can be kept.
    fn discard(&self, answer: UpstreamResponse) {
        let UpstreamResponse {
            head,
            body,
            connection,
            ..
        } = answer;
        if head.closes_connection {
            return;
        }
        let pool = Arc::clone(&self.pool);
        tokio::spawn(async move {
            if let Ok(Ok(_)) = timeout(DISCARD_LIMIT, body.collect()).await {
                pool.keep(connection, head.keep_alive);
            }
        });
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, connection: UpstreamConnection, keep_alive: Option<Duration>) {
        self.pool.keep(connection, keep_alive);
    }
}

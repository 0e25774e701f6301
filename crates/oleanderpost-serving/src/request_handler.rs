//! [`RequestHandler`].

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    BootTime, EntryContext, Rejection, RequestId, ResponseBody, Route, ServingConfig,
    admitted_request::AdmittedRequest, body_budget::BodyAllocation, buffered_proxy::BufferedProxy,
    in_progress_guard::InProgressGuard, stream_proxy::StreamProxy,
};

/// Longest time for the body of a request, if its deadline is not shorter.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Time after which a request that met a node short of memory should come back.
const MEMORY_WAIT: Duration = Duration::from_millis(300);

/// Reads callers' requests, refuses those that may not be served, and has the others served.
pub struct RequestHandler {
    entry: Arc<EntryContext>,
}

impl RequestHandler {
    /// The reception of a node.
    #[must_use]
    pub fn new(entry: Arc<EntryContext>) -> Self {
        Self { entry }
    }

    /// Serves one request.
    pub async fn serve(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = BootTime::now();
        let progress = InProgressGuard::new(Arc::clone(&self.entry));
        let (parts, body) = req.into_parts();
        let parts = Arc::new(parts);
        let call = match self.admit(arrived, &parts, body).await {
            Ok(call) => call,
            Err(rejection) => return self.reject(&parts, rejection),
        };
        self.entry.retries.note_request(&call.service, arrived);
        if call.route.kind.is_stream() {
            StreamProxy::new(Arc::clone(&self.entry), call, progress)
                .run()
                .await
        } else {
            BufferedProxy::new(&self.entry, &call).run().await
        }
    }

    /// Reads a request and checks whether it may be served.
    async fn admit(
        &self,
        arrived: BootTime,
        parts: &Arc<http::request::Parts>,
        body: Incoming,
    ) -> Result<AdmittedRequest, Rejection> {
        let head = self
            .entry
            .codec
            .parse_request(parts)
            .map_err(Rejection::Malformed)?;
        let deployment = self.entry.state.config().ok_or(Rejection::NotReady)?;
        let fresh = self.entry.state.is_fresh();
        let Some(route) = deployment.route(&head.host, parts.uri.path()) else {
            // An old configuration may lack a route that was added since.
            return Err(if fresh {
                Rejection::NoRoute
            } else {
                Rejection::NotReady
            });
        };
        let account = if deployment.requires_api_key() && !route.is_public {
            if !fresh {
                return Err(Rejection::NotReady);
            }
            let account = head
                .api_key
                .as_deref()
                .and_then(|key| deployment.account_for_key(key));
            Some(Arc::clone(account.ok_or(Rejection::UnknownKey)?))
        } else {
            None
        };
        let longest = head
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        if self
            .entry
            .state
            .active_drain()
            .is_some_and(|drain| !drain.admits(arrived, longest))
        {
            return Err(Rejection::Draining);
        }
        let service = route
            .select_service(draw(&head.id))
            .cloned()
            .ok_or(Rejection::NotReady)?;
        let (body, held) = self
            .read_body(&deployment, route, head.deadline, body)
            .await?;
        Ok(AdmittedRequest {
            head,
            parts: Arc::clone(parts),
            body,
            _held: held,
            route: Arc::clone(route),
            account,
            service,
            config_version: deployment.version(),
            arrived,
        })
    }

    /// Reads the body within the operator's limit, the caller's time and the node's memory.
    async fn read_body(
        &self,
        deployment: &ServingConfig,
        route: &Route,
        deadline: Option<Duration>,
        body: Incoming,
    ) -> Result<(Bytes, BodyAllocation), Rejection> {
        let limit = BODY_LIMIT
            .min(route.timeout)
            .min(deadline.unwrap_or(BODY_LIMIT));
        let most = deployment.caller_limits().body_bytes;
        let read = timeout(limit, self.collect(Limited::new(body, most)));
        read.await.map_err(|_| Rejection::SlowCaller)?
    }

    async fn collect(
        &self,
        mut body: Limited<Incoming>,
    ) -> Result<(Bytes, BodyAllocation), Rejection> {
        let mut held = self.entry.bodies.open();
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| match e.is::<LengthLimitError>() {
                true => Rejection::TooLarge,
                false => Rejection::Malformed("the body broke off"),
            })?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if !held.take(bytes.len()) {
                return Err(Rejection::Busy(MEMORY_WAIT));
            }
            buf.extend_from_slice(&bytes);
        }
        Ok((buf.freeze(), held))
    }

    /// Answers a request that is not served, and says why in the log.
    fn reject(&self, parts: &http::request::Parts, rejection: Rejection) -> Response<ResponseBody> {
        self.entry.metrics.rejected(rejection);
        if !self.entry.may_log() {
            return rejection.response();
        }
        let id = self
            .entry
            .codec
            .parse_request(parts)
            .map_or_else(|_| String::new(), |head| head.id.to_string());
        let version = self
            .entry
            .state
            .config()
            .map_or(0, |deployment| deployment.version());
        let age = self
            .entry
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
fn draw(id: &RequestId) -> u32 {
    // FNV-1a (Fowler, Noll, Vo), 32 bits; identifiers are random, so any spread will do.
    id.as_str().bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

//! [`RequestHandler`].

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::{
    Attempts, BootTime, EntryContext, Rejection, RequestId, ResponseBody, Route, ServingConfig,
    admitted_request::AdmittedRequest, buffered_proxy::BufferedProxy,
    dispatch_status::DispatchStatus, in_progress_guard::InProgressGuard,
    memory_budget::OutOfMemory, metered_buf::MeteredBuf, peer_relay::PeerRelay,
    stream_proxy::StreamProxy,
};

/// Longest time for receiving a request body; a shorter deadline or route timeout takes precedence.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);
/// Delay after which a caller should retry a request that was rejected because the memory for bodies is used
/// up.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Reads and checks callers' requests, rejects those that may not be served, and forwards the others to
/// upstreams.
pub struct RequestHandler {
    entry: Arc<EntryContext>,
}

impl RequestHandler {
    /// Creates the request handler of a node.
    #[must_use]
    pub fn new(entry: Arc<EntryContext>) -> Self {
        Self { entry }
    }

    /// Handles one request.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = req.into_parts();
        let parts = Arc::new(parts);
        let dispatch = Arc::new(DispatchStatus::default());
        tokio::select! {
            biased;
            response = self.serve(&parts, body, &dispatch) => response,
            () = self.entry.state.drain_ended() => self.reject_unanswered(&parts, &dispatch),
        }
    }

    async fn serve(
        &self,
        parts: &Arc<http::request::Parts>,
        body: Incoming,
        dispatch: &Arc<DispatchStatus>,
    ) -> Response<ResponseBody> {
        let arrived_at = BootTime::now();
        let in_progress = InProgressGuard::new(Arc::clone(&self.entry));
        let request = match self.admit(arrived_at, parts, body, dispatch).await {
            Ok(request) => request,
            Err(Rejection::Draining | Rejection::NotReady) if self.is_relayed(parts) => {
                return self.reject(parts, Rejection::NoRelay);
            }
            Err(rejection) => return self.reject(parts, rejection),
        };
        if let Some(left) = self.entry.quarantine_left(&request) {
            return self.reject_quarantined(&request, left);
        }
        if self.entry.reach.is_lost() && request.head.relayed {
            return self.reject(parts, Rejection::NoRelay);
        }
        // The node that has relayed a request counts it.
        if !request.head.relayed {
            self.entry.note_request(&request);
        }
        let relay = PeerRelay::new(&self.entry);
        if let Some(response) = relay.forward(&request, Attempts::default()).await {
            return response;
        }
        if request.route.kind.is_stream() {
            StreamProxy::new(Arc::clone(&self.entry), request, in_progress)
                .run()
                .await
        } else {
            BufferedProxy::new(&self.entry, &request).run().await
        }
    }

    fn is_relayed(&self, parts: &http::request::Parts) -> bool {
        let head = self.entry.codec.parse_request(parts);
        head.is_ok_and(|head| head.relayed)
    }

    /// Reads a request and decides whether it is admitted.
    async fn admit(
        &self,
        arrived_at: BootTime,
        parts: &Arc<http::request::Parts>,
        body: Incoming,
        dispatch: &Arc<DispatchStatus>,
    ) -> Result<AdmittedRequest, Rejection> {
        let head = self
            .entry
            .codec
            .parse_request(parts)
            .map_err(Rejection::Malformed)?;
        let config = self.entry.state.config().ok_or(Rejection::NotReady)?;
        let fresh = self.entry.state.is_fresh();
        let Some(route) = config.route(&head.host, parts.uri.path()) else {
            // An outdated configuration may lack a route that was added in the meantime.
            return Err(if fresh {
                Rejection::NoRoute
            } else {
                Rejection::NotReady
            });
        };
        let account = if config.requires_api_key() && !route.is_public {
            if !fresh {
                return Err(Rejection::NotReady);
            }
            let account = head
                .api_key
                .as_deref()
                .and_then(|key| config.account_for_key(key));
            Some(Arc::clone(account.ok_or(Rejection::UnknownKey)?))
        } else {
            None
        };
        let time_limit = head
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        if self
            .entry
            .state
            .active_drain()
            .is_some_and(|drain| !drain.admits(arrived_at, time_limit))
        {
            return Err(Rejection::Draining);
        }
        let service = route
            .select_service(request_hash(&head.id))
            .cloned()
            .ok_or(Rejection::NotReady)?;
        let body = self.read_body(&config, route, head.deadline, body).await?;
        Ok(AdmittedRequest {
            head,
            parts: Arc::clone(parts),
            body,
            route: Arc::clone(route),
            account,
            service,
            config_version: config.version(),
            arrived_at,
            dispatch: Arc::clone(dispatch),
            fingerprint: OnceLock::new(),
        })
    }

    /// Reads the body within the operator's size limit, the time limit of the request and the node's memory
    /// budget.
    async fn read_body(
        &self,
        config: &ServingConfig,
        route: &Route,
        deadline: Option<Duration>,
        body: Incoming,
    ) -> Result<Bytes, Rejection> {
        let time_limit = MAX_BODY_TIME
            .min(route.timeout)
            .min(deadline.unwrap_or(MAX_BODY_TIME));
        let max_bytes = config.caller_limits().body_bytes;
        let buf = MeteredBuf::new(&self.entry.request_memory, &())
            .with_stated_len(body.size_hint().exact());
        let revoked = buf.revocation();
        let collected = collect_body(Limited::new(body, max_bytes), buf);
        tokio::select! {
            collected = timeout(time_limit, collected) => collected.map_err(|_| Rejection::SlowCaller)?,
            () = revoked.cancelled() => Err(OutOfMemory.into()),
        }
    }

    /// Rejects a request that crashes upstreams, and logs which one.
    fn reject_quarantined(
        &self,
        request: &AdmittedRequest,
        left: Duration,
    ) -> Response<ResponseBody> {
        let rejection = Rejection::Quarantined(left);
        self.entry.metrics.count_rejection(rejection);
        if self.entry.may_log() {
            spdlog::info!("request not admitted", kv: {
                request: = request.head.id, reason = rejection.name(), status = rejection.status().as_u16(),
                version = request.config_version, fingerprint: = request.fingerprint(), left_ms = left.as_millis() as u64
            });
        }
        rejection.response()
    }

    /// Rejects a request that has no response at the end of the drain.
    fn reject_unanswered(
        &self,
        parts: &http::request::Parts,
        dispatch: &DispatchStatus,
    ) -> Response<ResponseBody> {
        let rejection = if dispatch.may_have_run() {
            Rejection::Interrupted
        } else if self.is_relayed(parts) {
            Rejection::NoRelay
        } else {
            Rejection::Draining
        };
        self.log_and_respond(
            "request unanswered at the end of the drain",
            parts,
            rejection,
        )
    }

    /// Builds the response to a request that is not admitted, and logs and counts the rejection.
    fn reject(&self, parts: &http::request::Parts, rejection: Rejection) -> Response<ResponseBody> {
        self.log_and_respond("request not admitted", parts, rejection)
    }

    fn log_and_respond(
        &self,
        message: &str,
        parts: &http::request::Parts,
        rejection: Rejection,
    ) -> Response<ResponseBody> {
        self.entry.metrics.count_rejection(rejection);
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
            .map_or(0, |config| config.version());
        let evidence_age = self
            .entry
            .state
            .evidence_age()
            .map_or(-1.0, |evidence_age| evidence_age.as_secs_f64() * 1e3);
        spdlog::info!("{message}", kv: {
            request = id.as_str(), reason = rejection.name(), status = rejection.status().as_u16(),
            version, evidence_age_ms = evidence_age as i64
        });
        rejection.response()
    }
}

async fn collect_body(
    mut body: Limited<Incoming>,
    mut buf: MeteredBuf<()>,
) -> Result<Bytes, Rejection> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| match e.is::<LengthLimitError>() {
            true => Rejection::TooLarge,
            false => Rejection::Malformed("the body broke off"),
        })?;
        if let Ok(bytes) = frame.into_data() {
            buf.push(&bytes)?;
        }
    }
    Ok(buf.freeze()?)
}

impl From<OutOfMemory> for Rejection {
    fn from(_: OutOfMemory) -> Self {
        Self::Busy(MEMORY_RETRY_AFTER)
    }
}

/// Hash of the request identifier, which selects the service of a route with weights.
fn request_hash(id: &RequestId) -> u32 {
    // FNV-1a (Fowler, Noll, Vo), 32 bits. Identifiers are random, so any hash function with an even spread
    // will do.
    id.as_str().bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

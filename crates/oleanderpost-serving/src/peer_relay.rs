//! [`PeerRelay`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, timeout_at},
};

use crate::{
    Attempts, EntryContext, Rejection, ResponseAborted, ResponseBody, RunStatus,
    admitted_request::AdmittedRequest, client_connection::ClientConnection,
    in_progress_guard::InProgressGuard, upstream_response::caller_response,
};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of chunks of a response buffered for a slow caller. Each may be as large as the connection's read buffer.
const CHUNK_BUFFER_LEN: usize = 1;

/// Error of one attempt to relay a request.
struct RelayError {
    ran: RunStatus,
    cause: String,
}

impl RelayError {
    fn new(ran: RunStatus, cause: impl std::fmt::Display) -> Self {
        Self {
            ran,
            cause: cause.to_string(),
        }
    }
}

/// Forwards callers' requests to peers while this node has no path to any upstream.
pub(crate) struct PeerRelay {
    entry: Arc<EntryContext>,
}

impl PeerRelay {
    pub(crate) fn new(entry: &Arc<EntryContext>) -> Self {
        Self {
            entry: Arc::clone(entry),
        }
    }

    /// Forwards a request that has not run to a peer if this node has lost all upstreams; `None` if no peer accepts
    /// it. Relayed requests are not relayed again. After attempts that an upstream may have received, the peer's attempt
    /// is a retry.
    pub(crate) async fn forward(
        &self,
        request: &AdmittedRequest,
        attempts: Attempts,
    ) -> Option<Response<ResponseBody>> {
        if !self.entry.reach.is_lost() || request.head.relayed {
            return None;
        }
        if !self.entry.take_retry(request, attempts).await {
            return None;
        }
        for peer in self.entry.scheduler.relays() {
            let e = match self.try_peer(request, peer).await {
                Ok(resp) => return Some(resp),
                Err(e) => e,
            };
            if self.entry.may_log() {
                spdlog::info!("failed to relay request", kv: {
                    request: = request.head.id, peer: = peer, may_have_run = e.ran.may_have_run(),
                    cause = e.cause.as_str()
                });
            }
            if e.ran.may_have_run() {
                let rejection = if request.time_left().is_zero() {
                    Rejection::TimedOut
                } else {
                    Rejection::UpstreamFailed
                };
                self.entry.metrics.count_rejection(rejection);
                return Some(rejection.response());
            }
        }
        None
    }

    async fn try_peer(
        &self,
        request: &AdmittedRequest,
        peer: SocketAddr,
    ) -> Result<Response<ResponseBody>, RelayError> {
        let not_run = |cause: &dyn std::fmt::Display| RelayError::new(RunStatus::NotRun, cause);
        let deadline = Instant::now() + self.entry.time_left(request);
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = timeout_at(connect_deadline, TcpStream::connect(peer)).await;
        let stream = stream.map_err(|e| not_run(&e))?.map_err(|e| not_run(&e))?;
        stream.set_nodelay(true).map_err(|e| not_run(&e))?;
        let mut connection = ClientConnection::new(stream)
            .await
            .map_err(|e| not_run(&e))?;
        // The process may have been suspended since the last check.
        let time_left = self.entry.time_left(request);
        if time_left.is_zero() {
            return Err(not_run(&"time limit of the request has passed"));
        }
        let relayed =
            self.entry
                .codec
                .build_relayed_request(&request.parts, time_left, request.body.clone());
        request.dispatch.begin_attempt();
        let resp = exchange(&mut connection.sender, relayed, deadline).await;
        let resp = resp.inspect_err(|e| request.dispatch.end_failed_attempt(e.ran))?;
        self.log_relayed(request, peer, resp.status());
        let (parts, body) = resp.into_parts();
        let (tx, rx) = mpsc::channel(CHUNK_BUFFER_LEN);
        let guard = InProgressGuard::new(Arc::clone(&self.entry));
        tokio::spawn(async move {
            let _guard = guard;
            // Stays open until the response is complete.
            let _connection = connection;
            tokio::select! {
                () = copy_body(body, &tx, deadline) => {}
                () = tx.closed() => {}
            }
        });
        Ok(caller_response(&parts, ResponseBody::Streamed(rx)))
    }

    fn log_relayed(&self, request: &AdmittedRequest, peer: SocketAddr, status: StatusCode) {
        if !self.entry.may_log() {
            return;
        }
        spdlog::info!("request relayed to a peer", kv: {
            request: = request.head.id, peer: = peer, status = status.as_u16(),
            ms = request.elapsed().as_millis() as u64
        });
    }
}

/// Sends a request to a peer and waits for the head of the response.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    relayed: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Response<Incoming>, RelayError> {
    let sent = timeout_at(deadline, sender.send_request(relayed)).await;
    let sent = sent.map_err(|e| RelayError::new(RunStatus::MayHaveRun, e))?;
    let resp = sent.map_err(|e| {
        let ran = if e.is_canceled() {
            RunStatus::NotRun
        } else {
            RunStatus::MayHaveRun
        };
        RelayError::new(ran, e)
    })?;
    if resp.status() == StatusCode::MISDIRECTED_REQUEST {
        let cause = "the peer accepts no relayed requests";
        return Err(RelayError::new(RunStatus::NotRun, cause));
    }
    Ok(resp)
}

/// Copies the body of a peer's response until it ends, fails or is late.
async fn copy_body(
    mut body: Incoming,
    tx: &mpsc::Sender<Result<Option<Bytes>, ResponseAborted>>,
    deadline: Instant,
) {
    loop {
        let chunk = match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => Ok(Some(bytes)),
                // Trailers.
                Err(_) => continue,
            },
            Ok(None) => Ok(None),
            Ok(Some(Err(_))) | Err(_) => Err(ResponseAborted),
        };
        let is_last = !matches!(chunk, Ok(Some(_)));
        // Fails only if the caller has disconnected.
        if tx.send(chunk).await.is_err() || is_last {
            return;
        }
    }
}

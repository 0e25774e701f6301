//! [`AdminServer`].

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{net::TcpListener, sync::Semaphore, time::sleep};

use crate::{
    BootTime, EntryContext, Error, ResponseBody, Result, SchedulerHost,
    caller_server::{bind_listener, local_address},
    node_gauges::GaugeValues,
};

/// How long a connection may wait for the head of its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most open connections. Operators' tools and readiness checks need a few.
const MAX_CONNECTIONS: usize = 256;
/// Size of the buffer for the head of a request, in bytes; the smallest that hyper accepts.
const HEAD_BUFFER_BYTES: usize = 8 << 10;
/// Delay before accepting again after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State of the node in the response to `/dump`, written as YAML for operators.
#[derive(Debug, Serialize)]
struct Dump {
    ready: bool,
    draining: bool,
    configuration: Option<u64>,
    evidence_age_ms: Option<u64>,
    in_progress: usize,
    upstreams: Vec<String>,
    /// Data centres under evacuation.
    evacuated: Vec<String>,
    /// What upstreams state about themselves.
    signals: Vec<String>,
    /// Upstreams that are cold, and for how long.
    cold: Vec<String>,
    /// Prompt parts and requests that crash upstreams.
    quarantines: Vec<String>,
    scheduler: String,
    nodes: usize,
    scheduler_waiting: usize,
    scheduler_placed: usize,
    /// Number of searches for an engine since the node started.
    scheduler_tries: u64,
}

/// HTTP server for operators: metrics (`/metrics`), the node's state (`/dump`), and readiness on any other
/// path.
pub struct AdminServer {
    listener: TcpListener,
    entry: Arc<EntryContext>,
    scheduler_host: Arc<SchedulerHost>,
}

impl AdminServer {
    /// Binds the listener to `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        entry: Arc<EntryContext>,
        scheduler_host: Arc<SchedulerHost>,
    ) -> Result<Self> {
        let listener =
            bind_listener(address).map_err(|source| Error::Listen { address, source })?;
        Ok(Self {
            listener,
            entry,
            scheduler_host,
        })
    }

    /// Address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the operating system does not report it.
    pub fn address(&self) -> Result<SocketAddr> {
        local_address(&self.listener)
    }

    /// Accepts connections; never returns.
    pub async fn run(self) {
        let this = Arc::new(self);
        let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            match this.listener.accept().await {
                Ok((stream, _)) => {
                    let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                        spdlog::warn!("operator connection closed: too many open connections", kv: { open = MAX_CONNECTIONS });
                        continue;
                    };
                    let this = Arc::clone(&this);
                    tokio::spawn(async move {
                        let _slot = slot;
                        let service = service_fn(|req| this.handle(req));
                        let connection = http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(IDLE_TIMEOUT)
                            .max_buf_size(HEAD_BUFFER_BYTES)
                            .serve_connection(TokioIo::new(stream), service);
                        if let Err(e) = connection.await {
                            spdlog::debug!("operator connection closed with an error", kv: { error: = e });
                        }
                    });
                }
                Err(e) => {
                    spdlog::warn!("failed to accept an operator connection", kv: { error: = e });
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle(
        &self,
        req: Request<Incoming>,
    ) -> std::result::Result<Response<ResponseBody>, Infallible> {
        let resp = match req.uri().path() {
            "/metrics" => Response::new(ResponseBody::new(self.metrics())),
            "/dump" => Response::new(ResponseBody::new(self.dump())),
            _ => self.readiness(),
        };
        Ok(resp)
    }

    fn readiness(&self) -> Response<ResponseBody> {
        let mut resp = Response::new(ResponseBody::new(""));
        if !self.entry.state.is_ready() {
            *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        resp
    }

    /// Descriptions of all quarantines.
    fn quarantines(&self) -> Vec<String> {
        let parts = self.scheduler_host.quarantines();
        let requests = self.scheduler_host.crash_watch().verdicts().quarantines;
        let descriptions = parts.iter().map(ToString::to_string);
        descriptions
            .chain(requests.iter().map(ToString::to_string))
            .collect()
    }

    fn metrics(&self) -> String {
        let state = &self.entry.state;
        let (waiting, placed) = self.scheduler_host.counts();
        let directory = state.directory().clone();
        self.entry.metrics().encode(GaugeValues {
            ready: state.is_ready(),
            configuration: state.config().map_or(0, |config| config.version()),
            evidence_age_s: state.evidence_age().map_or(-1.0, |age| age.as_secs_f64()),
            upstreams: directory.ids().count(),
            store_era: state.position().era,
            evacuated_data_centres: directory.evacuated().count(),
            limited_upstreams: state.signals().limited_count(),
            cold_upstreams: state.cold_upstreams().len(),
            quarantines: self.quarantines().len(),
            in_progress: self.entry.in_progress(),
            waiting,
            placed,
            searches: self.scheduler_host.searches(),
            request_memory: self.entry.request_memory.used_bytes(),
            response_memory: self.entry.client.response_memory.used_bytes(),
        })
    }

    fn dump(&self) -> String {
        let state = &self.entry.state;
        let (scheduler_waiting, scheduler_placed) = self.scheduler_host.counts();
        let directory = state.directory().clone();
        let cold = state.cold_upstreams();
        let dump = Dump {
            ready: state.is_ready(),
            draining: state.active_drain().is_some(),
            configuration: state.config().map(|config| config.version()),
            evidence_age_ms: state.evidence_age().map(|age| age.as_millis() as u64),
            in_progress: self.entry.in_progress(),
            upstreams: directory.ids().map(ToString::to_string).collect(),
            evacuated: directory.evacuated().map(ToString::to_string).collect(),
            signals: state.signals().describe(BootTime::now()),
            cold: cold.iter().map(ToString::to_string).collect(),
            quarantines: self.quarantines(),
            scheduler: self.entry.scheduler.leader().to_string(),
            nodes: self.entry.scheduler.nodes(),
            scheduler_waiting,
            scheduler_tries: self.scheduler_host.searches(),
            scheduler_placed,
        };
        match serde_saphyr::to_string(&dump) {
            Ok(text) => text,
            Err(e) => format!("dump not encoded: {e}\n"),
        }
    }
}

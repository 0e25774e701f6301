//! [`AdminServer`].

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{net::TcpListener, time::sleep};

use crate::{
    EntryContext, Error, ResponseBody, Result, SchedulerHost,
    caller_server::{bind, local_address},
    node_gauges::GaugeValues,
};

/// Longest time that a connection may stay idle.
const IDLE: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// State of a node, for people.
#[derive(Debug, Serialize)]
struct Dump {
    ready: bool,
    draining: bool,
    configuration: Option<u64>,
    evidence_age_ms: Option<u64>,
    in_progress: usize,
    upstreams: Vec<String>,
    scheduler: String,
    nodes: usize,
    scheduler_waiting: usize,
    scheduler_placed: usize,
    /// Searches for an engine since the start.
    scheduler_tries: u64,
}

/// Answers questions about readiness (any path), metrics (`/metrics`) and the state (`/dump`).
pub struct AdminServer {
    listener: TcpListener,
    entry: Arc<EntryContext>,
    host: Arc<SchedulerHost>,
}

impl AdminServer {
    /// Opens the listener.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the address can't be bound.
    pub fn open(
        address: SocketAddr,
        entry: Arc<EntryContext>,
        host: Arc<SchedulerHost>,
    ) -> Result<Self> {
        let listener = bind(address).map_err(|source| Error::Listen { address, source })?;
        Ok(Self {
            listener,
            entry,
            host,
        })
    }

    /// Address that is bound.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] when the operating system does not tell it.
    pub fn address(&self) -> Result<SocketAddr> {
        local_address(&self.listener)
    }

    /// Accepts connections, for ever.
    pub async fn run(self) {
        let this = Arc::new(self);
        loop {
            match this.listener.accept().await {
                Ok((stream, _)) => {
                    let this = Arc::clone(&this);
                    tokio::spawn(async move {
                        let service = service_fn(|req| this.answer(req));
                        let connection = http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(IDLE)
                            .serve_connection(TokioIo::new(stream), service);
                        if let Err(e) = connection.await {
                            spdlog::debug!("connection of operator ended", kv: { error: = e });
                        }
                    });
                }
                Err(e) => {
                    spdlog::warn!("accept failed", kv: { error: = e });
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn answer(
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

    fn metrics(&self) -> String {
        let state = &self.entry.state;
        let (waiting, placed) = self.host.counts();
        self.entry.metrics().text(GaugeValues {
            ready: state.is_ready(),
            configuration: state.config().map_or(0, |d| d.version()),
            evidence_age_s: state.evidence_age().map_or(-1.0, |age| age.as_secs_f64()),
            upstreams: state.directory().ids().count(),
            in_progress: self.entry.in_progress(),
            waiting,
            placed,
            tries: self.host.searches(),
        })
    }

    fn dump(&self) -> String {
        let state = &self.entry.state;
        let (scheduler_waiting, scheduler_placed) = self.host.counts();
        let dump = Dump {
            ready: state.is_ready(),
            draining: state.active_drain().is_some(),
            configuration: state.config().map(|deployment| deployment.version()),
            evidence_age_ms: state.evidence_age().map(|age| age.as_millis() as u64),
            in_progress: self.entry.in_progress(),
            upstreams: state.directory().ids().map(ToString::to_string).collect(),
            scheduler: self.entry.scheduler.leader().to_string(),
            nodes: self.entry.scheduler.nodes(),
            scheduler_waiting,
            scheduler_tries: self.host.searches(),
            scheduler_placed,
        };
        match serde_saphyr::to_string(&dump) {
            Ok(text) => text,
            Err(e) => format!("dump not encoded: {e}\n"),
        }
    }
}
